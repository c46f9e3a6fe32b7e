package headlimit

import "bytes"

// scanner finds the end of a head, a blank line, in bytes that come in parts, and counts what the head consists of. It goes by the line
// ends that net/http accepts: a line feed with or without a carriage return before it.
type scanner struct {
	// first is the length of the first line and rest that of all other lines, in bytes, with their ends.
	first, rest int64
	// lines is the number of lines that have ended.
	lines int64
	// blank is set while the current line has no bytes but one carriage return, which returned tells.
	blank, returned bool
}

// newScanner returns a scanner at the begin of a line.
func newScanner() scanner { return scanner{blank: true} }

// scan takes more bytes, up to and with the next blank line. It returns how many it took, and whether there was a blank line.
func (s *scanner) scan(p []byte) (taken int, ended bool) {
	for taken < len(p) {
		part := p[taken:]
		i := bytes.IndexByte(part, '\n')
		if i < 0 {
			s.count(part)
			s.follow(part)
			return len(p), false
		}
		s.count(part[:i+1])
		s.follow(part[:i])
		blank := s.blank
		s.lines++
		s.blank, s.returned = true, false
		taken += i + 1
		if blank {
			return taken, true
		}
	}
	return taken, false
}

// follow notes a part of a line without its line feed.
func (s *scanner) follow(part []byte) {
	if len(part) == 0 {
		return
	}
	s.blank = s.blank && !s.returned && len(part) == 1 && part[0] == '\r'
	s.returned = s.blank
}

func (s *scanner) count(part []byte) {
	if s.lines == 0 {
		s.first += int64(len(part))
		return
	}
	s.rest += int64(len(part))
}

// bytes returns the length of what was scanned.
func (s *scanner) bytes() int64 { return s.first + s.rest }

// reset starts to count anew, within the current line.
func (s *scanner) reset() { s.first, s.rest, s.lines = 0, 0, 0 }

// skip takes bytes that are not counted, such as those of a body.
func (s *scanner) skip(p []byte) {
	if i := bytes.LastIndexByte(p[max(0, len(p)-2):], '\n'); i >= 0 { // only the last two bytes can be a part of a blank line
		s.blank, s.returned = true, false
		p = p[max(0, len(p)-2)+i+1:]
	}
	s.follow(p)
}
