package entryhost

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"sequoiafork/internal/freshness"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/streamorigin"
)

const (
	// minRecordInterval is the least time between two appends of origins by a daemon.
	minRecordInterval = 100 * time.Millisecond
	// recordShare is the share of the writes which the store takes that all daemons together use for origins.
	recordShare = 0.1
	// recordTimeout bounds one append of origins or one record of a version.
	recordTimeout = time.Second
	// recordTurn is for how long the record of a version is left to the daemon that ranks before this one. It is
	// longer than daemons take to learn of a record.
	recordTurn = 2 * time.Second
	// readRecordsTimeout bounds a read of what is recorded, and findRecordedTimeout the wait of a request for one. A read
	// goes on for later requests.
	readRecordsTimeout  = 2 * time.Second
	findRecordedTimeout = 400 * time.Millisecond
)

var (
	originsRecordedTotal     = metrics.GetOrCreateCounter("sequoiafork_stream_origins_recorded_total")
	originRecordsFailedTotal = metrics.GetOrCreateCounter("sequoiafork_stream_origins_record_failed_total")
	versionsRecordedTotal    = metrics.GetOrCreateCounter("sequoiafork_stream_versions_recorded_total")
)

// StreamLog is where what is known of streams outlasts all daemons. No method is called twice at once.
type StreamLog interface {
	// AppendOrigins records the origins of streams.
	AppendOrigins(ctx context.Context, list []streamorigin.Record) error
	// ReadOrigins returns the origins that were recorded after those that earlier calls returned, also with an error.
	ReadOrigins(ctx context.Context) ([]streamorigin.Record, error)
	// UnreadVersions returns the versions that have been listed or recorded and of which the daemon has not been told.
	UnreadVersions(ctx context.Context) ([]streamorigin.Origin, error)
	// RecordVersion records a version, or drops its record.
	RecordVersion(ctx context.Context, o streamorigin.Origin, exists bool) error
}

// originLog reads and writes the origins of streams and the versions that outlast all daemons.
type originLog struct {
	daemon  *Daemon
	table   *streamorigin.Table
	journal *streamorigin.Journal
	log     StreamLog
	fresh   *freshness.Checker
	// due is when this daemon is to make or drop the record of a version.
	due map[versionChange]time.Time
}

// versionChange is the record of a version that is to be made, or dropped.
type versionChange struct {
	origin streamorigin.Origin
	exists bool
}

func newOriginLog(d *Daemon, table *streamorigin.Table, log StreamLog) *originLog {
	if log == nil {
		return nil
	}
	l := &originLog{
		daemon:  d,
		table:   table,
		journal: streamorigin.NewJournal(streamorigin.JournalConfig{}),
		log:     log,
		due:     make(map[versionChange]time.Time),
	}
	l.fresh = freshness.New(freshness.Config{
		Check:   l.read,
		Timeout: readRecordsTimeout,
	})
	return l
}

// find returns the recorded origin of a stream, and false if there is none, after it has read all that was recorded
// before the call.
func (l *originLog) find(ctx context.Context, requestID string) (streamorigin.Origin, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, findRecordedTimeout)
	defer cancel()
	if err := l.fresh.Wait(ctx); err != nil {
		return streamorigin.Origin{}, false, fmt.Errorf("read the records of streams: %w", err)
	}
	origin, ok := l.journal.Find(requestID)
	return origin, ok, nil
}

// read reads what was recorded since the last read.
func (l *originLog) read(ctx context.Context) error {
	list, err := l.log.ReadOrigins(ctx)
	l.journal.Add(list, l.table.Retention())
	if err != nil {
		return err
	}
	versions, err := l.log.UnreadVersions(ctx)
	if err != nil {
		return err
	}
	l.table.NoteVersions(versions)
	return nil
}

// run records origins and versions until ctx ends.
func (l *originLog) run(ctx context.Context) error {
	if l == nil {
		return nil
	}
	for failures := 0; ; {
		interval := l.interval()
		if failures > 0 {
			interval = max(interval, l.daemon.RetryBackoff(failures))
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := l.recordOrigins(ctx); err != nil {
			failures++
			continue
		}
		failures = 0
		l.recordVersions(ctx)
	}
}

// interval returns the time between two appends of this daemon, so that all daemons keep to recordShare.
func (l *originLog) interval() time.Duration {
	budget := recordShare * l.daemon.cfg.Settings.Platform.StoreWritesPerSecond
	share := time.Duration(float64(l.daemon.daemonCount.Load()) / budget * float64(time.Second))
	return max(share, minRecordInterval)
}

// recordOrigins appends the origins of streams that are to be recorded.
func (l *originLog) recordOrigins(ctx context.Context) error {
	list := l.table.TakeUnrecorded()
	if len(list) == 0 {
		return nil
	}
	records := make([]streamorigin.Record, len(list))
	for i, e := range list {
		records[i] = streamorigin.RecordOf(e)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := l.log.AppendOrigins(ctx, records); err != nil {
		l.table.RetryUnrecorded(list)
		originRecordsFailedTotal.Inc()
		l.daemon.logger.Info("origins of streams not recorded", zap.Int("streams", len(list)), zap.Error(err))
		return err
	}
	originsRecordedTotal.Add(len(list))
	return nil
}

// recordVersions makes and drops the records of versions for which it is this daemon's turn.
func (l *originLog) recordVersions(ctx context.Context) {
	changes := l.table.Changes()
	wanted := make(map[versionChange]bool)
	for _, o := range changes.Record {
		wanted[versionChange{
			origin: o,
			exists: true,
		}] = true
	}
	for _, o := range changes.Drop {
		wanted[versionChange{
			origin: o,
		}] = true
	}
	for c := range l.due {
		if !wanted[c] {
			delete(l.due, c)
		}
	}
	now := time.Now()
	for c := range wanted {
		due, known := l.due[c]
		if !known {
			due = now.Add(time.Duration(l.rank(c.origin)) * recordTurn)
			l.due[c] = due
		}
		if now.Before(due) {
			continue
		}
		l.due[c] = now.Add(recordTurn)
		l.recordVersion(ctx, c)
	}
}

func (l *originLog) recordVersion(ctx context.Context, c versionChange) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := l.log.RecordVersion(ctx, c.origin, c.exists)
	if err == nil {
		versionsRecordedTotal.Inc()
	}
	l.daemon.logger.Info("record of a version changed", zap.String("service", c.origin.Service), zap.String("version", c.origin.Version),
		zap.Bool("exists", c.exists), zap.Error(err))
}

// rank returns the number of living daemons that record a version before this one does.
func (l *originLog) rank(o streamorigin.Origin) int {
	version := xxhash.Sum64String(o.Service + "/" + o.Version)
	self := trialRank(l.daemon.members.Self().Incarnation, version, 0)
	before := 0
	for _, name := range l.daemon.daemonNames() {
		if trialRank(name, version, 0) > self {
			before++
		}
	}
	return before
}

// SetRecordedVersions replaces the versions at which streams have begun that are recorded in the StreamLog.
func (d *Daemon) SetRecordedVersions(list []streamorigin.Origin) { d.origins.SetRecorded(list) }

// streamServices returns the services that resumable routes lead to.
func streamServices(t *routing.Table) []string {
	var services []string
	for _, r := range t.Routes() {
		if r.Kind != routing.ResumableStream {
			continue
		}
		for _, target := range r.Targets {
			if !slices.Contains(services, target.Service) {
				services = append(services, target.Service)
			}
		}
	}
	return services
}
