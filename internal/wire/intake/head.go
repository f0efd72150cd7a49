package intake

import "bytes"

const (
	// lineCost is the memory of a header line: the parsed head of a request takes about 300 bytes for each of its lines, however short,
	// and the header that is sent on is a copy of it.
	lineCost = 512
	// byteCost is the memory of each byte of a head: it is held as read, parsed, copied and as sent on.
	byteCost = 4
	// itemCost is the memory of each item of a list in a header, which is parsed and logged: a comma separates two of them.
	itemCost = 128
)

// headMeter finds the end of a request head and what the head costs as it is read.
type headMeter struct {
	// hasLine is set once a line that is not empty has been read; empty lines before it belong to no head.
	hasLine bool
	// inLine is set if the current line has a byte other than a carriage return.
	inLine bool
	// isDone is set after the empty line that ends the head.
	isDone bool
}

// with returns the meter after more bytes of a connection, how many of them belong to the head, and what they cost.
func (m headMeter) with(data []byte) (next headMeter, length int, cost int64) {
	lines := int64(0)
	for length < len(data) && !m.isDone {
		rest := data[length:]
		n := bytes.IndexByte(rest, '\n')
		if n < 0 {
			m.inLine = m.inLine || len(bytes.Trim(rest, "\r")) > 0
			length = len(data)
			break
		}
		m.inLine = m.inLine || len(bytes.Trim(rest[:n], "\r")) > 0
		m.isDone = m.hasLine && !m.inLine
		m.hasLine = m.hasLine || m.inLine
		m.inLine = false
		length += n + 1
		lines++
	}
	items := int64(bytes.Count(data[:length], []byte(",")))
	return m, length, lines*lineCost + items*itemCost + int64(length)*byteCost
}
