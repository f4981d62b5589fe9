package session

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/settings"
)

// role is part of a proof: without it a peer could send a proof back to its maker.
type role string

const (
	roleClient role = "client"
	roleServer role = "server"

	nonceBytes = 16
)

// prove returns the proof of h for a peer that sent peerNonce.
func prove(h structs.Hello, r role, peerNonce, secret []byte) ([]byte, error) {
	h.Proof = nil
	var buf bytes.Buffer
	if err := encMode.MarshalToBuffer(h, &buf); err != nil {
		return nil, errs.Newf(errs.Internal, "encode hello: %v", err)
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(r))
	mac.Write(peerNonce)
	mac.Write(buf.Bytes())
	return mac.Sum(nil), nil
}

// verify checks the proof of h, made under key by a peer with role r for nonce.
func verify(h *structs.Hello, r role, nonce []byte, key settings.PeerKey) error {
	want, err := prove(*h, r, nonce, key.Secret)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, h.Proof) {
		return errs.Newf(errs.Unauthenticated, "wrong proof from %s under peer key %q", h.Host, h.KeyID)
	}
	return nil
}

func checkHello(h *structs.Hello) error {
	if h.Protocol != structs.ProtocolVersion {
		return errs.Newf(errs.BadFrame, "peer %s speaks protocol %d, not %d", h.Host, h.Protocol, structs.ProtocolVersion)
	}
	if len(h.Nonce) < nonceBytes {
		return errs.Newf(errs.BadFrame, "hello from %s without a nonce", h.Host)
	}
	return nil
}

// shaker carries out one handshake on ws.
type shaker struct {
	ws   *websocket.Conn
	o    *Options
	keys []settings.PeerKey
	self structs.Hello
}

func newShaker(ws *websocket.Conn, o *Options) *shaker {
	self := o.Hello
	self.Protocol = structs.ProtocolVersion
	self.Nonce = make([]byte, nonceBytes)
	rand.Read(self.Nonce) // never fails
	ws.SetReadLimit(o.MaxMessage)
	ws.SetReadDeadline(time.Now().Add(handshakeTimeout))
	ws.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	return &shaker{ws: ws, o: o, keys: o.PeerKeys(), self: self}
}

func (s *shaker) client() (*structs.Hello, error) {
	if len(s.keys) == 0 {
		return nil, errs.New(errs.Unauthenticated, "no peer key is set")
	}
	s.self.KeyID = s.keys[0].ID
	if err := s.send(&structs.Frame{Hello: &s.self}); err != nil {
		return nil, err
	}
	peer, err := s.readHello()
	if err != nil {
		return nil, err
	}
	if err := s.verify(peer, roleServer); err != nil {
		return nil, s.refuse(err)
	}
	if err := s.sendProof(roleClient, s.keys[0].Secret, peer.Nonce); err != nil {
		return nil, err
	}
	f, err := s.read()
	if err != nil {
		return nil, err
	}
	if f.Beat == nil {
		return nil, s.refuse(errs.New(errs.BadFrame, "no beat after the proof"))
	}
	return peer, nil
}

func (s *shaker) server() (*structs.Hello, error) {
	first, err := s.readHello()
	if err != nil {
		return nil, err
	}
	key, err := s.key(first.KeyID)
	if err != nil {
		return nil, s.refuse(err)
	}
	s.self.KeyID = key.ID
	if err := s.sendProof(roleServer, key.Secret, first.Nonce); err != nil {
		return nil, err
	}
	peer, err := s.readHello()
	if err != nil {
		return nil, err
	}
	if err := s.verify(peer, roleClient); err != nil {
		return nil, s.refuse(err)
	}
	return peer, s.send(&structs.Frame{Beat: &structs.Beat{}})
}

func (s *shaker) key(id string) (settings.PeerKey, error) {
	return keyring.FindPeerKey(s.keys, s.o.RetiredKey, id)
}

// verify checks the proof of the peer, under the key that it names.
func (s *shaker) verify(peer *structs.Hello, r role) error {
	key, err := s.key(peer.KeyID)
	if err != nil {
		return err
	}
	return verify(peer, r, s.self.Nonce, key)
}

func (s *shaker) sendProof(r role, secret, peerNonce []byte) error {
	proof, err := prove(s.self, r, peerNonce, secret)
	if err != nil {
		return err
	}
	s.self.Proof = proof
	return s.send(&structs.Frame{Hello: &s.self})
}

func (s *shaker) send(f *structs.Frame) error {
	var buf bytes.Buffer
	if err := Encode(&buf, []*structs.Frame{f}); err != nil {
		return err
	}
	if err := s.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes()); err != nil {
		return errs.Newf(errs.SessionLost, "handshake: %v", err).WithRan(errs.RanNo)
	}
	return nil
}

// read returns the only frame of the next message. A refusal of the peer becomes the error.
func (s *shaker) read() (*structs.Frame, error) {
	_, p, err := s.ws.ReadMessage()
	if err != nil {
		return nil, errs.Newf(errs.SessionLost, "handshake: %v", err).WithRan(errs.RanNo)
	}
	frames, err := Decode(p)
	if err != nil {
		return nil, s.refuse(err)
	}
	if len(frames) != 1 {
		return nil, s.refuse(errs.Newf(errs.BadFrame, "%d frames in a handshake message", len(frames)))
	}
	f := &frames[0]
	if f.End != nil && f.End.Err != nil {
		return nil, f.End.Err
	}
	return f, nil
}

func (s *shaker) readHello() (*structs.Hello, error) {
	f, err := s.read()
	if err != nil {
		return nil, err
	}
	if f.Hello == nil {
		return nil, s.refuse(errs.New(errs.BadFrame, "the first frame is no hello"))
	}
	if err := checkHello(f.Hello); err != nil {
		return nil, s.refuse(err)
	}
	return f.Hello, nil
}

// refuse tells the peer and the log why the session is refused, and returns err.
func (s *shaker) refuse(err error) error {
	e := errs.As(err)
	s.o.Logger.Warn("session refused", "peer", s.ws.RemoteAddr().String(), "type", e.Type, "why", e.Detail)
	// The peer may be gone; the refusal stands all the same.
	if sendErr := s.send(&structs.Frame{End: &structs.End{Err: e}}); sendErr != nil {
		logDebug(s.o.Logger, "refusal not sent", sendErr)
	}
	return e
}

func logDebug(l hclog.Logger, msg string, err error) {
	if l.IsDebug() {
		l.Debug(msg, "error", err)
	}
}
