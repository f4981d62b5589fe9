package keyring

import (
	"crypto/tls"
	"slices"

	"arbutusramp/core/errs"
)

// readCertificate reads a certificate and its key; nil if no file is set. Error: errs.BadSettings.
func readCertificate(cert, key string) (*tls.Certificate, error) {
	if cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errs.Newf(errs.BadSettings, "certificate %s: %v", cert, err)
	}
	return &pair, nil
}

// equalCertificates reports whether two certificate chains are equal; nil equals only nil.
func equalCertificates(a, b *tls.Certificate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.EqualFunc(a.Certificate, b.Certificate, slices.Equal)
}

// CallerTLS returns the TLS settings of the callers' listener, nil for plain HTTP.
func (k *Keyring) CallerTLS() *tls.Config {
	return k.newTLSConfig(func(v *Values) *tls.Certificate { return v.Callers })
}

// AdminTLS returns the TLS settings of the administration listener, nil for plain HTTP.
func (k *Keyring) AdminTLS() *tls.Config {
	return k.newTLSConfig(func(v *Values) *tls.Certificate { return v.Admin })
}

// newTLSConfig returns TLS settings that select the certificate at each handshake, so that a new one takes
// effect with the next handshake.
func (k *Keyring) newTLSConfig(get func(*Values) *tls.Certificate) *tls.Config {
	if get(&k.current.Load().Values) == nil {
		return nil
	}
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return get(&k.current.Load().Values), nil
		},
		MinVersion: tls.VersionTLS12,
		// A resumed session does not present a certificate: a client would continue under the replaced one,
		// which may have been replaced because its key leaked.
		SessionTicketsDisabled: true,
	}
}
