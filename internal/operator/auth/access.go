package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
)

// Principal is who a token belongs to.
type Principal struct {
	Operator string
	Role     settings.Role
}

// HasRole tells whether the person may do what needs a role.
func (p Principal) HasRole(need settings.Role) bool {
	return p.Role == settings.Operate || p.Role == need
}

// Authenticator knows the tokens, by their hashes alone.
type Authenticator struct {
	known []known
}

type known struct {
	hash   [sha256.Size]byte
	person Principal
}

// NewAuthenticator makes a guard of the settings' tokens.
func NewAuthenticator(tokens []settings.Token) Authenticator {
	var g Authenticator
	for _, t := range tokens {
		g.known = append(g.known, known{hash: sha256.Sum256([]byte(t.Value)), person: Principal{Operator: t.Operator, Role: t.Role}})
	}
	return g
}

// Authenticate gives whose token a request bears; false if it bears none that is known. It takes as long for every token.
func (g Authenticator) Authenticate(r *http.Request) (Principal, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	var found Principal
	match := 0
	for _, k := range g.known {
		if subtle.ConstantTimeCompare(hash[:], k.hash[:]) == 1 {
			found = k.person
			match = 1
		}
	}
	return found, ok && match == 1
}
