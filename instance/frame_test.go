package instance

import (
	"bytes"
	"io"
	"reflect"
	"testing"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/tracer"
)

func FuzzFrames(f *testing.F) {
	f.Add(encoder.Marshal(callFrame{Method: "Start", Timeout: 250, Trace: tracer.TraceContext{Parent: "00-1-2-01"}, Body: []byte("b")}))
	f.Add(encoder.Marshal(replyFrame{Status: statusRefused, Body: []byte("shutting down")}))
	f.Add(appendMessage(appendMessage(nil, messageFrame{Method: "Log", Body: []byte("1")}), messageFrame{Method: "Log"}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRoundTrip[callFrame](t, data)
		checkRoundTrip[replyFrame](t, data)
		r := bytes.NewReader(data)
		for {
			m, err := readMessage(r)
			if err != nil {
				break
			}
			again, err := readMessage(bytes.NewReader(appendMessage(nil, m)))
			if err != nil || !reflect.DeepEqual(m, again) {
				t.Fatalf("the message changed from %v to %v (%v)", m, again, err)
			}
		}
	})
}

func checkRoundTrip[F any](t *testing.T, data []byte) {
	t.Helper()
	var first, second F
	if readFrame(bytes.NewReader(data), &first) != nil {
		return
	}
	if err := readFrame(bytes.NewReader(encoder.Marshal(first)), &second); err != nil || !reflect.DeepEqual(first, second) {
		t.Fatalf("the frame changed from %v to %v (%v)", first, second, err)
	}
}

func TestFrameBounds(t *testing.T) {
	var f callFrame
	if err := readFrame(io.LimitReader(zeros{}, maxFrameBytes+1), &f); err == nil {
		t.Fatal("a frame that is too long was accepted")
	}
	if _, err := readMessage(bytes.NewReader([]byte{0x7f, 0, 0, 0})); err == nil {
		t.Fatal("a message that is too long was accepted")
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
