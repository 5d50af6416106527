package operator_test

import (
	"errors"
	"testing"

	"chervilpath/io/http1"
	"chervilpath/io/operator"
	"chervilpath/io/standin"
)

// Guards against a command that prints a broken answer of an instance, or takes one for a
// confirmation.
func TestBrokenAnswerToACommandIsAnError(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Name: 1\r\n", "HTTP/1.1 200 OK\r\nX-Name: 1\r\n\tX-Name: 2\r\n"} {
		answer := head + "Content-Length: 2\r\n\r\n{}"
		server, err := standin.NewRaw(answer, len(answer))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		for range 20 {
			if _, err := operator.FetchStatus(t.Context(), server.Address(), ""); !errors.Is(err, http1.ErrMalformed) {
				t.Fatalf("%q: status, error %v; want ErrMalformed", head, err)
			}
			if err := operator.Release(t.Context(), server.Address(), "", "llm", "part"); !errors.Is(err, http1.ErrMalformed) {
				t.Fatalf("%q: release, error %v; want ErrMalformed", head, err)
			}
		}
	}
}
