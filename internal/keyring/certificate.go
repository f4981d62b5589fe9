package keyring

import (
	"crypto/tls"
	"slices"

	"arbutusramp/core/errs"
)

// readCertificate returns nil without a file.
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

func sameCertificate(a, b *tls.Certificate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.EqualFunc(a.Certificate, b.Certificate, slices.Equal)
}

// CallerTLS returns the TLS settings of the callers' listener, nil for plain HTTP.
func (k *Keyring) CallerTLS() *tls.Config {
	return k.tlsConfig(func(v *Values) *tls.Certificate { return v.Callers })
}

// AdminTLS returns the TLS settings of the administration listener, nil for plain HTTP.
func (k *Keyring) AdminTLS() *tls.Config {
	return k.tlsConfig(func(v *Values) *tls.Certificate { return v.Admin })
}

// tlsConfig asks for the certificate at each handshake, so that a new one is in force for the next.
func (k *Keyring) tlsConfig(get func(*Values) *tls.Certificate) *tls.Config {
	if get(&k.now.Load().Values) == nil {
		return nil
	}
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return get(&k.now.Load().Values), nil
		},
		MinVersion: tls.VersionTLS12,
		// A resumed session shows no certificate: a client would go on under the one that
		// was replaced, which may have been replaced because its key leaked.
		SessionTicketsDisabled: true,
	}
}
