package call

import "strings"

// identitySeparator divides fields that contain none.
const identitySeparator = "\x00"

// Head returns what a call by a team asks for, and that team: attempts of one request have the same one, whichever of the team's keys they
// have and however the host is spelled.
func (c Call) Head(team string) string {
	return strings.Join([]string{c.Method, strings.ToLower(c.Host), c.URI, team}, identitySeparator)
}

// Name returns the IDs of the prompt's parts, "" for no prompt.
func (p Prompt) Name() string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, identitySeparator)
}
