package keyring

import (
	"crypto/tls"
	"slices"

	"arbutusramp/core/errs"
)

// readCertificate reads a certificate and its private key from two files; nil if certFile is empty. Error:
// errs.BadSettings.
func readCertificate(certFile, keyFile string) (*tls.Certificate, error) {
	if certFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errs.Newf(errs.BadSettings, "load TLS certificate %s: %v", certFile, err)
	}
	return &certificate, nil
}

// equalCertificates reports whether a and b have the same certificate chain; nil equals only nil.
func equalCertificates(a, b *tls.Certificate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.EqualFunc(a.Certificate, b.Certificate, slices.Equal)
}

// CallerTLS returns the TLS settings of the listener for callers; nil if it serves plain HTTP.
func (k *Keyring) CallerTLS() *tls.Config {
	return k.newTLSConfig(func(v *Values) *tls.Certificate { return v.CallerCertificate })
}

// AdminTLS returns the TLS settings of the administration listener; nil if it serves plain HTTP.
func (k *Keyring) AdminTLS() *tls.Config {
	return k.newTLSConfig(func(v *Values) *tls.Certificate { return v.AdminCertificate })
}

// newTLSConfig returns TLS settings for the certificate that selectCertificate picks from the values in force;
// nil if there is none. The certificate is selected at each handshake, so a new one takes effect with the next
// handshake.
func (k *Keyring) newTLSConfig(selectCertificate func(*Values) *tls.Certificate) *tls.Config {
	if selectCertificate(&k.current.Load().Values) == nil {
		return nil
	}
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return selectCertificate(&k.current.Load().Values), nil
		},
		MinVersion: tls.VersionTLS12,
		// In a resumed session the server presents no certificate: a client would continue to trust the
		// replaced certificate, which may have been replaced because its key leaked.
		SessionTicketsDisabled: true,
	}
}
