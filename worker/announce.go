package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/upstream"
)

// reportTimeout bounds one report; past it the worker turns to the next entry
// instance.
const reportTimeout = time.Second

// reportGap is the least time between two reports.
const reportGap = 20 * clock.Millisecond

// announce reports to the entry instances, again and again. It stays with one
// that answers and moves on from one that doesn't.
func (w *Worker) announce(ctx context.Context) error {
	tick := time.NewTicker(reportInterval.Duration())
	defer tick.Stop()
	entry := 0
	for {
		if len(w.cfg.EntryAddresses) > 0 {
			if err := w.report(ctx, w.cfg.EntryAddresses[entry]); err != nil && ctx.Err() == nil {
				w.log.WithField(logger.FieldError, err.Error()).Debug("report failed")
				entry = (entry + 1) % len(w.cfg.EntryAddresses)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-w.kick:
			// Ends that come together go out in one report.
			_ = clock.Sleep(ctx, reportGap)
		}
	}
}

// report sends one report and carries out the reply.
func (w *Worker) report(ctx context.Context, entry string) error {
	w.mu.Lock()
	sentAt := w.cfg.Clock.Now()
	sent := w.table.report(dispatcher.Report{
		Upstream:         w.cfg.ID,
		AvailabilityZone: w.cfg.AvailabilityZone,
		Rack:             w.cfg.Rack,
		Address:          w.address,
	}, sentAt)
	w.mu.Unlock()
	reply, err := w.send(ctx, entry, sent)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.table.reply(sent, reply, sentAt, w.cfg.Clock.Now()) {
		w.stops[id]()
	}
	return nil
}

func (w *Worker) send(ctx context.Context, entry string, sent dispatcher.Report) (dispatcher.ReportReply, error) {
	var reply dispatcher.ReportReply
	body, err := json.Marshal(sent)
	if err != nil {
		return reply, errors.Wrap(err, "encoding a report")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+upstream.ReportPath, bytes.NewReader(body))
	if err != nil {
		return reply, errors.Wrap(err, "making a report's request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.http.Do(req)
	if err != nil {
		return reply, errors.Wrap(err, "reporting")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, upstream.MaxReportBytes))
	if err != nil {
		return reply, errors.Wrap(err, "reading the reply to a report")
	}
	if resp.StatusCode != http.StatusOK {
		return reply, errors.Newf("%s answered %s: %.200s", entry, resp.Status, data)
	}
	return reply, errors.Wrap(json.Unmarshal(data, &reply), "decoding the reply to a report")
}
