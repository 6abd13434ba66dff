package worker

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Directives at the start of Echo's data.
const (
	waitDirective = "wait="
	failDirective = "fail="
	directiveEnd  = ';'
)

// Echo is a TaskFunc that returns its data. Directives at the start of the data,
// each followed by a semicolon, are removed and carried out: "wait=250ms;" delays
// the return and "fail=TEXT;" makes the task fail with TEXT.
func Echo(ctx context.Context, data []byte) ([]byte, error) {
	for {
		directive, rest, found := bytes.Cut(data, []byte{directiveEnd})
		if !found {
			return data, nil
		}
		if text, ok := strings.CutPrefix(string(directive), failDirective); ok {
			return nil, errors.New(text)
		}
		text, ok := strings.CutPrefix(string(directive), waitDirective)
		if !ok {
			return data, nil
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.Wrap(err, "the directive wait")
		}
		if err := sleep(ctx, d); err != nil {
			return nil, err
		}
		data = rest
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
