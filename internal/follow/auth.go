package follow

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/settings"
)

// headerPeer carries "KEY HOST NONCE PROOF" in a question and "PROOF" in its answer.
const headerPeer = "X-Peer"

const (
	peerFields = 4
	nonceBytes = 12
)

// auth proves questions and answers between own processes by HMAC-SHA256 under
// a key that both have. Several keys are valid at a time, so that they can
// be changed one process after the other.
type auth struct {
	keys func() []settings.PeerKey
	// retired says whether a key was valid once; nil knows none.
	retired func(id string) bool
}

// question is what a process proves of its question.
type question struct {
	key   settings.PeerKey
	host  structs.HostID
	nonce string
}

func (a *auth) newQuestion(self structs.HostID) (question, error) {
	keys := a.keys()
	if len(keys) == 0 {
		return question{}, errs.New(errs.Unauthenticated, "no peer key is set")
	}
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never fails
	return question{key: keys[0], host: self, nonce: encode64(nonce)}, nil
}

func (q question) header(uri string) string {
	return strings.Join([]string{q.key.ID, string(q.host), q.nonce, q.proof(uri)}, " ")
}

func (q question) proof(uri string) string {
	return mac(q.key.Secret, "ask", uri, string(q.host), q.nonce)
}

// answerProof binds an answer to its question, so that an old answer can't be played again.
func (q question) answerProof(body []byte) string {
	sum := sha256.Sum256(body)
	return mac(q.key.Secret, "answer", q.nonce, string(sum[:]))
}

// check returns the question that a header proves for uri. Error: errs.Unauthenticated,
// which says whether the proof is missing, its key not valid, or the proof wrong.
func (a *auth) check(header, uri string) (question, error) {
	parts := strings.Fields(header)
	if len(parts) != peerFields {
		return question{}, errs.New(errs.Unauthenticated, "the proof under a peer key is missing")
	}
	key, err := keyring.FindPeerKey(a.keys(), a.retired, parts[0])
	if err != nil {
		return question{}, err
	}
	q := question{key: key, host: structs.HostID(parts[1]), nonce: parts[2]}
	if !hmac.Equal([]byte(q.proof(uri)), []byte(parts[3])) {
		return question{}, errs.Newf(errs.Unauthenticated, "wrong proof from %s under peer key %q", q.host, key.ID)
	}
	return q, nil
}

// mac separates its parts by a byte that none of them but the last, which has a
// fixed length, can hold.
func mac(secret []byte, parts ...string) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(strings.Join(parts, "\n")))
	return encode64(h.Sum(nil))
}

func encode64(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
