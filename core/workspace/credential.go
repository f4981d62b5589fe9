package workspace

import (
	"strings"

	"arbutusramp/core/errs"
)

const (
	bearerScheme = "Bearer" // scheme of the Authorization header; its case is ignored
	// maxKeyBytes is the largest size of a key that a caller may send.
	maxKeyBytes = 4096
)

// Credential is what a caller sends to identify its workspace: the digest of an API key, nothing, or a header
// that cannot be used.
type Credential struct {
	Key   Digest // zero unless IsSet
	IsSet bool   // the caller sent a key
	// Err is why the Authorization header cannot be used; nil if it can, or if there is none. It is an
	// errs.Unauthenticated error.
	Err error
}

// MissingKey returns the error for a request that needs a key and has none. Error: errs.Unauthenticated.
func MissingKey() error {
	return errs.New(errs.Unauthenticated, "no API key was sent; send Authorization: Bearer KEY")
}

// ParseAuthorization returns the credential in the values of a request's Authorization headers. More than one
// header is an error, because proxies might each use a different one.
func ParseAuthorization(values []string) Credential {
	switch len(values) {
	case 0:
		return Credential{}
	case 1:
		return parseBearer(values[0])
	}
	return Credential{Err: errs.Newf(errs.Unauthenticated, "the request has %d Authorization headers", len(values))}
}

// parseBearer returns the credential in the value of an Authorization header.
func parseBearer(value string) Credential {
	scheme, key, _ := strings.Cut(strings.Trim(value, " \t"), " ")
	key = strings.TrimLeft(key, " ")
	switch {
	case !strings.EqualFold(scheme, bearerScheme):
		return Credential{Err: errs.New(errs.Unauthenticated, "the scheme of the Authorization header is not Bearer")}
	case key == "":
		return Credential{Err: errs.New(errs.Unauthenticated, "the Authorization header contains no key")}
	case len(key) > maxKeyBytes:
		return Credential{Err: errs.Newf(errs.Unauthenticated, "the key has %d bytes, at most %d are allowed", len(key), maxKeyBytes)}
	case strings.ContainsFunc(key, isInvalidKeyRune):
		return Credential{Err: errs.New(errs.Unauthenticated, "the key contains invalid characters")}
	}
	return Credential{Key: DigestOf(key), IsSet: true}
}

// isInvalidKeyRune reports whether r is not allowed in a key: keys consist of visible ASCII characters
// without the comma, which separates the elements of a header list.
func isInvalidKeyRune(r rune) bool { return r <= ' ' || r > '~' || r == ',' }
