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

// reportTimeout bounds one report. After it the worker tries the next entry
// instance.
const reportTimeout = time.Second

// minReportInterval is the minimum time between two reports.
const minReportInterval = 20 * clock.Millisecond

// reportLoop sends reports until ctx ends. It uses one entry instance as long as
// that accepts the reports, and otherwise changes to the next.
func (w *Worker) reportLoop(ctx context.Context) error {
	tick := time.NewTicker(reportInterval.Duration())
	defer tick.Stop()
	current := 0
	for {
		if len(w.cfg.EntryAddresses) > 0 {
			if err := w.report(ctx, w.cfg.EntryAddresses[current]); err != nil && ctx.Err() == nil {
				w.log.WithField(logger.FieldError, err.Error()).Debug("report failed")
				current = (current + 1) % len(w.cfg.EntryAddresses)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-w.reportNow:
			// Tasks that end at nearly the same time share a report.
			_ = clock.Sleep(ctx, minReportInterval)
		}
	}
}

// report sends one report and applies the reply to it.
func (w *Worker) report(ctx context.Context, address string) error {
	w.mu.Lock()
	sentAt := w.cfg.Clock.Now()
	sent := w.table.buildReport(dispatcher.Report{
		Upstream:         w.cfg.ID,
		AvailabilityZone: w.cfg.AvailabilityZone,
		Rack:             w.cfg.Rack,
		Address:          w.address,
	}, sentAt)
	w.mu.Unlock()
	reply, err := w.sendReport(ctx, address, sent)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.table.applyReply(sent, reply, sentAt, w.cfg.Clock.Now()) {
		w.cancelTask[id]()
	}
	return nil
}

func (w *Worker) sendReport(ctx context.Context, address string, sent dispatcher.Report) (dispatcher.ReportReply, error) {
	var reply dispatcher.ReportReply
	body, err := json.Marshal(sent)
	if err != nil {
		return reply, errors.Wrap(err, "encoding a report")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+upstream.ReportPath, bytes.NewReader(body))
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
		return reply, errors.Newf("%s answered %s: %.200s", address, resp.Status, data)
	}
	return reply, errors.Wrap(json.Unmarshal(data, &reply), "decoding the reply to a report")
}
