package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/lacewingdrift/lacewingdrift/internal/operator/settings"
)

// Person is who a token belongs to.
type Person struct {
	Who  string
	Role settings.Role
}

// May tells whether the person may do what needs a role.
func (p Person) May(need settings.Role) bool {
	return p.Role == settings.Operate || p.Role == need
}

// Guard knows the tokens, by their hashes alone.
type Guard struct {
	known []known
}

type known struct {
	hash   [sha256.Size]byte
	person Person
}

// NewGuard makes a guard of the settings' tokens.
func NewGuard(tokens []settings.Token) Guard {
	var g Guard
	for _, t := range tokens {
		g.known = append(g.known, known{hash: sha256.Sum256([]byte(t.Value)), person: Person{Who: t.Who, Role: t.Role}})
	}
	return g
}

// Person gives whose token a request bears; false if it bears none that is known. It takes as long for every token.
func (g Guard) Person(r *http.Request) (Person, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	var found Person
	match := 0
	for _, k := range g.known {
		if subtle.ConstantTimeCompare(hash[:], k.hash[:]) == 1 {
			found = k.person
			match = 1
		}
	}
	return found, ok && match == 1
}
