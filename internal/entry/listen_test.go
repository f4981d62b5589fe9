package entry

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/internal/keyring"
)

// Symptom: a caller with too large a body sees a reset connection in place of the reason.
// Sequence: the entry refuses by the length, answers and closes while the caller still sends.
// Cause: closing on unread bytes resets the connection, and the answer is lost with it.
func TestBodyTooLargeIsTyped(t *testing.T) {
	e := startEntry(t, &hostTable{})
	large := strings.Repeat("x", e.set.MaxBody+1)
	bodies := map[string]io.Reader{
		"by its length": strings.NewReader(large),
		"chunked":       io.MultiReader(strings.NewReader(large)),
	}
	for name, r := range bodies {
		resp := postBody(t, "http://"+e.CallerAddr()+pathChat, r, nil)
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		if got := problemOf(t, string(body)); resp.StatusCode != 413 || got.Type != errs.BodyTooLarge || got.Ran != errs.RanNo {
			t.Errorf("%s: status %d, %+v", name, resp.StatusCode, got)
		}
	}
}

// writeCert writes a self-signed certificate for 127.0.0.1 and its key.
func writeCert(t *testing.T) (cert, key string) {
	t.Helper()
	return writeCertOf(t, 1)
}

func writeCertOf(t *testing.T, serial int64) (cert, key string) {
	t.Helper()
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &priv.PublicKey, priv)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(priv)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, cert, "CERTIFICATE", der)
	writePEM(t, key, "EC PRIVATE KEY", keyDER)
	return cert, key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestCallersListenerSpeaksTLS(t *testing.T) {
	set := testSettings()
	set.CallerCert, set.CallerKey = writeCert(t)
	e := runEntry(t, set, &hostTable{})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + e.CallerAddr() + pathModels)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %d without a key", resp.StatusCode)
	}
}

// Symptom: after a certificate was replaced because its key leaked, callers are shown the old one
// until a restart, or for as long as they resume a TLS session; or the replacement cuts them off.
func TestANewCertificateIsInForceForTheNextHandshake(t *testing.T) {
	set := testSettings()
	set.PeerKeys = peerKeys
	set.CallerCert, set.CallerKey = writeCertOf(t, 1)
	set.AdminCert, set.AdminKey = writeCertOf(t, 10)
	e := runEntry(t, set, &hostTable{})
	config := &tls.Config{InsecureSkipVerify: true, ClientSessionCache: tls.NewLRUClientSessionCache(0)}
	shown := func(addr string) (int64, *tls.Conn) {
		c, err := tls.Dial("tcp", addr, config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), c
	}
	serial, open := shown(e.CallerAddr())
	admin, _ := shown(e.AdminAddr())
	if serial != 1 || admin != 10 {
		t.Fatalf("certificates %d and %d at the start", serial, admin)
	}
	ask(t, open)
	for next := int64(2); next <= 3; next++ {
		set.CallerCert, set.CallerKey = writeCertOf(t, next)
		values, err := keyring.EntryValues(set)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := e.Keys().Replace(values); err != nil {
			t.Fatal(err)
		}
		if serial, _ := shown(e.CallerAddr()); serial != next {
			t.Errorf("certificate %d, want %d", serial, next)
		}
		ask(t, open)
	}
	if admin, _ := shown(e.AdminAddr()); admin != 10 {
		t.Errorf("administration shows certificate %d", admin)
	}
	set.CallerCert, set.CallerKey = "", ""
	values, err := keyring.EntryValues(set)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Keys().Replace(values); !errs.Is(err, errs.BadSettings) {
		t.Errorf("TLS turned off in a running process: %v", err)
	}
}

// ask sends one request on an open connection and reads the answer.
func ask(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+pathModels+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %d, error %v", resp.StatusCode, err)
	}
}

func TestBadListenersAreBadSettings(t *testing.T) {
	bad := []func(*Options){
		func(o *Options) { o.Settings.CallerAddr = "nowhere" },
		func(o *Options) { o.Settings.CallerCert = "/none" },
		func(o *Options) { o.Policy = "nonsense" },
		func(o *Options) { o.Config = nil },
	}
	for i, change := range bad {
		o := Options{Settings: testSettings(), Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Config: confstate.Static(testState())}
		change(&o)
		if _, err := New(o); !errs.Is(err, errs.BadSettings) {
			t.Errorf("case %d: %v", i, err)
		}
	}
}
