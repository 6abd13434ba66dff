package listener

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// connKey is the context key of a request's conn.
type connKey struct{}

// handler takes memory for each request before it passes it on, and gives it back afterwards.
type handler struct {
	admission *Admission
	policy    Policy
	next      http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	var timeout clock.Millis
	c.request = admitter.Request{}
	if h.policy.Holder != nil {
		c.request.Holder, timeout = h.policy.Holder(r)
	}
	arrived := c.beginRequest(r.ContentLength)
	defer h.admission.release(&c.request)
	b := &body{ReadCloser: r.Body, conn: c, control: http.NewResponseController(w), timeout: timeout}
	if arrived {
		c.enter(admitter.Serving)
	} else {
		b.began = c.now()
		b.last = b.began
		b.setDeadline()
	}
	b.arrived, b.done = arrived, r.ContentLength == 0
	if !b.done {
		r.Body = b
	}
	// A declared body that doesn't fit now is refused before any of it is read.
	if !h.admission.acquire(&c.request, requestCost) || !h.admission.fits(&c.request, admitter.BodyBytes(unit.Bytes(max(r.ContentLength, 0)))) {
		h.admission.noteRefused(c)
		RefuseHeader(w)
		h.policy.Refuse(w)
		b.finish()
		return
	}
	h.next.ServeHTTP(w, r)
	b.finish()
}

// RefuseHeader sets the header of a response that refuses a request for lack of memory.
func RefuseHeader(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.FormatInt(int64(RetryAfter/clock.Second), 10))
	w.Header().Set("Connection", "close")
}

func (a *Admission) fits(r *admitter.Request, n unit.Bytes) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Fits(r, min(n, a.budget.Remaining(r)))
}

func (a *Admission) noteRefused(c *conn) {
	a.note(a.metrics.refusedRequests, "request bytes", c.RemoteAddr().String())
}

// Charge takes n bytes more for the request of a context, until it ends. It returns ErrOverloaded
// if there is no memory left. Without an Admission it does nothing.
func Charge(ctx context.Context, n unit.Bytes) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c.admission.acquire(&c.request, n) {
		return nil
	}
	c.admission.noteRefused(c)
	return ErrOverloaded
}

// ChargeAtMost is Charge for a request whose memory is bounded otherwise: it takes no more than a
// process without other requests has, so that such a process always serves it.
func ChargeAtMost(ctx context.Context, n unit.Bytes) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	c.admission.mu.Lock()
	n = min(n, c.admission.budget.Remaining(&c.request))
	c.admission.mu.Unlock()
	return Charge(ctx, n)
}

// deadlineStep is by how much a deadline must move to be set again.
const deadlineStep = 100 * clock.Millisecond

// body is the body of a request. It takes memory as the bytes arrive.
type body struct {
	io.ReadCloser
	conn    *conn
	control *http.ResponseController
	timeout clock.Millis
	// began is when the body began, last when a byte came, deadline until when the next one
	// must come.
	began, last, deadline clock.Millis
	received              unit.Bytes
	// arrived is set if all of the body was there when the request began: it has no deadline.
	arrived bool
	// done is set when the body was read to its end.
	done bool
	err  error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	before := admitter.BodyBytes(b.received)
	b.received += unit.Bytes(n)
	switch {
	case errors.Is(err, io.EOF):
		b.done, b.err = true, err
		if !b.arrived {
			b.conn.enter(admitter.Serving)
			// Else net/http would take the deadline for the end of the connection.
			_ = b.control.SetReadDeadline(time.Time{})
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		a := b.conn.admission
		a.note(a.metrics.stalledBodies, "stalled body", b.conn.RemoteAddr().String())
		b.err = ErrStalled
		return n, b.err
	case err != nil:
		b.err = err
	}
	if n > 0 && !b.conn.admission.acquire(&b.conn.request, admitter.BodyBytes(b.received)-before) {
		b.conn.admission.noteRefused(b.conn)
		b.err = ErrOverloaded
		return 0, b.err
	}
	if n > 0 && !b.done && !b.arrived {
		b.last = b.conn.now()
		b.setDeadline()
	}
	return n, err
}

// setDeadline sets until when the next byte must come.
func (b *body) setDeadline() {
	d := b.conn.admission.cfg.Limits.BodyDeadline(b.began, b.last, b.received, b.timeout)
	if d >= b.deadline && d < b.deadline+deadlineStep {
		return
	}
	b.deadline = d
	// A connection that was closed meanwhile fails the next read.
	_ = b.control.SetReadDeadline(time.Now().Add((d - b.conn.now()).Duration()))
}

// finish bounds the time in which net/http reads what the handler left of the body.
func (b *body) finish() {
	if !b.done && !b.arrived {
		_ = b.control.SetReadDeadline(time.Now().Add(drainTimeout))
	}
}

// firstBuffer is the first size of the buffer for a body.
const firstBuffer = 4 << 10

// ReadAll reads a body of at most limit bytes. length is its declared length, negative if there
// is none. The buffer grows with what has arrived, and never beyond the declared length. The error
// is ErrTooLong for a longer body.
func ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	most := limit
	if length >= 0 {
		most = length
	}
	data := make([]byte, 0, min(most+1, firstBuffer))
	for {
		if len(data) == cap(data) {
			grown := int64(cap(data)) + min(int64(cap(data)), max(admitter.GrowthBytes, int64(cap(data))/4))
			data = append(make([]byte, 0, min(grown, most+1)), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, ErrTooLong
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
