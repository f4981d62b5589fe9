package scenario

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const certLife = time.Hour

// cert CERTFILE KEYFILE writes a self-signed certificate for 127.0.0.1 and its key.
func cert(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: cert CERTFILE KEYFILE")
	}
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		NotAfter:              time.Now().Add(certLife),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &priv.PublicKey, priv)
	ts.Check(err)
	keyDER, err := x509.MarshalECPrivateKey(priv)
	ts.Check(err)
	writePEM(ts, args[0], "CERTIFICATE", der)
	writePEM(ts, args[1], "EC PRIVATE KEY", keyDER)
}

func writePEM(ts *testscript.TestScript, file, kind string, der []byte) {
	ts.Check(os.WriteFile(ts.MkAbs(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}
