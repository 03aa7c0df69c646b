package web

import "math"

// lengthName is the name of the header that declares the length of a body, in lower case.
const lengthName = "content-length:"

// headScanner finds the end of a head, which may come in parts, and the length of the body
// that it declares. It does not check the syntax; the HTTP library parses the head.
type headScanner struct {
	// length is the last declared length; 0 if there is none.
	length int
	// previous and beforePrevious are the last two bytes.
	previous, beforePrevious byte
	// matched is how many bytes of the current line are those of lengthName, or -1 if one
	// is not.
	matched int
}

// scan takes the next bytes and reports whether the head ends within them. It looks at
// nothing behind the end.
func (s *headScanner) scan(p []byte) bool {
	for _, b := range p {
		if b == '\n' && (s.previous == '\n' || s.previous == '\r' && s.beforePrevious == '\n') {
			return true
		}
		s.match(b)
		s.beforePrevious, s.previous = s.previous, b
	}
	return false
}

// match compares a byte of a line with lengthName, and reads the length behind it.
func (s *headScanner) match(b byte) {
	switch {
	case b == '\n':
		s.matched = 0
	case s.matched < 0:
	case s.matched == len(lengthName):
		if b >= '0' && b <= '9' {
			s.length = min(s.length, math.MaxInt/10-9)*10 + int(b-'0')
		}
	case b|0x20 == lengthName[s.matched] || b == lengthName[s.matched]:
		if s.matched++; s.matched == len(lengthName) {
			s.length = 0
		}
	default:
		s.matched = -1
	}
}
