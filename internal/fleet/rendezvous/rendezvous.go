package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes in order of their score for key; the first is the holder of the key.
func Rank(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	list := make([]scored, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, scored{n, score(key, n)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].node < list[j].node
	})
	ranked := make([]string, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.node)
	}
	return ranked
}

// First returns the holder of key, or "" if there are no nodes.
func First(key string, nodes []string) string {
	best := ""
	var bestScore uint64
	for _, n := range nodes {
		s := score(key, n)
		if best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}

func score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
