package http1

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// versionPrefix begins each status line of HTTP/1. A digit, a space and the status follow it.
	versionPrefix  = "HTTP/1."
	minorVersionAt = len(versionPrefix)
	statusAt       = len("HTTP/1.1 ")
	reasonAt       = len("HTTP/1.1 200")

	// maxQuotedBytes limits how much of a broken line an error quotes.
	maxQuotedBytes = 64
)

// headChecker checks the heads of one response line by line: those of interim responses and
// the final one. Its zero value checks nothing.
type headChecker struct {
	// open is set until the end of the final head.
	open bool
	// inFields is set after the status line, and interim if that is one of an interim response.
	inFields, interim bool
	// minorVersion is the digit after versionPrefix, and hasLength and isEncoded are set if the
	// head has a Content-Length and a Transfer-Encoding.
	minorVersion         byte
	hasLength, isEncoded bool
	// partial is the beginning of a line whose end has not come. net/http limits the
	// size of a head, and so that of a line.
	partial []byte
	// err is why the head is broken, or nil.
	err error
}

// begin prepares for the next response.
func (h *headChecker) begin() {
	*h = headChecker{open: true, partial: h.partial[:0]}
}

// check checks the next bytes of the connection as far as they belong to a head, and sets err if
// that is broken.
func (h *headChecker) check(p []byte) {
	for h.open && h.err == nil && len(p) > 0 {
		line, rest, ok := bytes.Cut(p, []byte("\n"))
		if !ok {
			h.partial = append(h.partial, p...)
			return
		}
		if len(h.partial) > 0 {
			h.partial = append(h.partial, line...)
			line = h.partial
		}
		h.err = h.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		h.partial, p = h.partial[:0], rest
	}
}

func (h *headChecker) checkLine(line []byte) error {
	if h.inFields {
		if len(line) > 0 {
			return h.checkField(line)
		}
		h.inFields, h.open = false, h.interim
		return h.checkFraming()
	}
	if !isStatusLine(line) {
		return fmt.Errorf("%w: status line %.*q", ErrMalformed, maxQuotedBytes, line)
	}
	h.inFields, h.interim, h.minorVersion = true, line[statusAt] == '1', line[minorVersionAt]
	h.hasLength, h.isEncoded = false, false
	return nil
}

// checkField checks a field line. One that begins with a blank is broken: senders must not continue
// a value that way any more, and it may as well be a field whose name begins with a blank.
func (h *headChecker) checkField(line []byte) error {
	name, value, ok := strings.Cut(string(line), ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) || !isText(value) {
		return fmt.Errorf("%w: field line %.*q", ErrMalformed, maxQuotedBytes, line)
	}
	h.hasLength = h.hasLength || strings.EqualFold(name, "Content-Length")
	h.isEncoded = h.isEncoded || strings.EqualFold(name, "Transfer-Encoding")
	return nil
}

// checkFraming checks that a head does not say in two ways where its body ends.
func (h *headChecker) checkFraming() error {
	if h.isEncoded && (h.hasLength || h.minorVersion == '0') {
		return fmt.Errorf("%w: a Transfer-Encoding beside a Content-Length or in HTTP/1.0", ErrMalformed)
	}
	return nil
}

// isStatusLine reports whether a line begins a response to a request that asks for no upgrade. It
// may lack the reason, as net/http allows.
func isStatusLine(line []byte) bool {
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(versionPrefix)) || !isDigit(line[minorVersionAt]) || line[statusAt-1] != ' ' {
		return false
	}
	reason := string(line[reasonAt:])
	return isStatus(string(line[statusAt:reasonAt])) && (reason == "" || reason[0] == ' ' && isText(reason))
}

// isStatus reports whether three characters are a status from 100 to 599 other than 101, which
// switches protocols.
func isStatus(s string) bool {
	return '1' <= s[0] && s[0] <= '5' && isDigit(s[1]) && isDigit(s[2]) && s != "101"
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether all bytes are allowed in a reason phrase or the value of a field.
func isText(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
