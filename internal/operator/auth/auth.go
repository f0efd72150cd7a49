package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
)

// Principal is the operator that a token belongs to.
type Principal struct {
	Operator string
	Role     settings.Role
}

// HasRole reports whether the principal has the permissions of a role; settings.Operate includes those of all roles.
func (p Principal) HasRole(role settings.Role) bool {
	return p.Role == settings.Operate || p.Role == role
}

// Authenticator authenticates requests; it keeps only the hashes of the tokens.
type Authenticator struct {
	credentials []credential
}

type credential struct {
	hash      [sha256.Size]byte
	principal Principal
}

// NewAuthenticator returns an authenticator for the settings' tokens.
func NewAuthenticator(tokens []settings.Token) Authenticator {
	var a Authenticator
	for _, t := range tokens {
		a.credentials = append(a.credentials, credential{hash: sha256.Sum256([]byte(t.Value)), principal: Principal{Operator: t.Operator, Role: t.Role}})
	}
	return a
}

// Authenticate returns the owner of a request's token, false if there is no known token. It takes equally long for every
// token, so that its timing reveals nothing.
func (a Authenticator) Authenticate(r *http.Request) (Principal, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	var found Principal
	match := 0
	for _, c := range a.credentials {
		if subtle.ConstantTimeCompare(hash[:], c.hash[:]) == 1 {
			found = c.principal
			match = 1
		}
	}
	return found, ok && match == 1
}
