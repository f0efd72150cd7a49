// Package intake bounds what the clients of a node may hold: the bytes of heads, bodies and responses, and connections. Budget decides
// without a clock or a socket, Gate applies its decisions to the connections of a server.
package intake
