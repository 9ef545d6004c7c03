package settings

import "time"

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// schema lists every field in the order of the example file.
func schema() []field {
	var all []field
	for _, fields := range [][]field{
		daemonFields(),
		peersFields(),
		platformFields(),
		limitsFields(),
		drainFields(),
		keysFields(),
		retryFields(),
		upstreamsFields(),
		hedgeFields(),
		admissionFields(),
		logFields(),
	} {
		all = append(all, fields...)
	}
	return all
}

func daemonFields() []field {
	g := &sectionBuilder{
		section: "daemon",
	}
	g.add(field{
		key:         "data_centre",
		description: "Data centre of this host, as named on the host list.",
		unit:        "name",
		allowed:     allowedName,
		defaultText: "dc-1",
		required:    true,
		set:         setter(parseName, func(s *Settings) *string { return &s.Daemon.DataCentre }),
	})
	g.listenAddr("caller_addr", "Address for callers. It is announced to them, so they must be able to reach it.", "192.0.2.10:7001",
		func(s *Settings) *string { return &s.Daemon.CallerAddr })
	g.listenAddr("operator_addr", "Address for operators, metrics, health and the dump.", "192.0.2.10:7002",
		func(s *Settings) *string { return &s.Daemon.OperatorAddr })
	g.listenAddr("peer_addr", "Address for the other daemons.", "192.0.2.10:7003",
		func(s *Settings) *string { return &s.Daemon.PeerAddr })
	g.number("cores", "Processor time that the daemon may use. Work that one daemon does for all goes to hosts with much. 0: not known.", "cores", 0, 0, 1024,
		func(s *Settings) *float64 { return &s.Daemon.Cores })
	g.number("memory_mb", "Memory that the daemon may use. With little of it, it keeps less of what upstreams send. 0: not known.", "megabytes", 0, 0, 1_048_576,
		func(s *Settings) *float64 { return &s.Daemon.MemoryMB })
	return g.fields
}

func peersFields() []field {
	g := &sectionBuilder{
		section: "peers",
	}
	g.add(field{
		key:         "seeds",
		description: "Peer addresses of some other daemons; the others are discovered through them.",
		unit:        "IP:port list",
		allowed:     allowedAddrs,
		set:         setter(parseAddrs, func(s *Settings) *[]string { return &s.Peers.Seeds }),
	})
	return g.fields
}

func platformFields() []field {
	g := &sectionBuilder{
		section: "platform",
	}
	g.enum("kind", "What the platform provides: an append-only log and a host list, or a log with keyed topics that holds both.", PlatformKindLog, []string{
		PlatformKindLog,
		PlatformKindKeyedLog,
	}, func(s *Settings) *string { return &s.Platform.Kind })
	g.requiredAddr(PlatformKindKeyedLog, "store_addr", "Address of the log with keyed topics.", "192.0.2.20:7102",
		func(s *Settings) *string { return &s.Platform.StoreAddr })
	g.number("store_writes_per_second", "Writes that the log with keyed topics takes from all daemons together. They use a tenth of them to record streams.", "writes a second", 400, 1, 1_000_000,
		func(s *Settings) *float64 { return &s.Platform.StoreWritesPerSecond })
	g.requiredAddr(PlatformKindKeyedLog, "ready_addr", "Address of this daemon for the platform's readiness checks.", "192.0.2.10:7004",
		func(s *Settings) *string { return &s.Platform.ReadyAddr })
	g.requiredAddr(PlatformKindKeyedLog, "directory_addr", "Address of this daemon at which callers resolve where to connect.", "192.0.2.10:7005",
		func(s *Settings) *string { return &s.Platform.DirectoryAddr })
	g.requiredAddr(PlatformKindLog, "log_addr", "Address of the log service.", "192.0.2.20:7100",
		func(s *Settings) *string { return &s.Platform.LogAddr })
	g.add(field{
		key:         "log_stream",
		description: "Stream of the log that holds the tables, leases and claims; the same for all daemons.",
		unit:        "name",
		allowed:     allowedName,
		defaultText: "sequoiafork",
		set:         setter(parseName, func(s *Settings) *string { return &s.Platform.LogStream }),
	})
	g.duration("log_timeout", "Longest wait for one response of the log service.", 2*time.Second, 10*time.Millisecond, time.Minute,
		func(s *Settings) *time.Duration { return &s.Platform.LogTimeout })
	g.number("log_appends_per_second", "Limit on the rate of this daemon's appends to the log.", "appends a second", 8, 0.1, 1000,
		func(s *Settings) *float64 { return &s.Platform.LogAppendsPerSecond })
	g.integer("snapshot_every_records", "Records on the log between two snapshots. Keep it below half of the records that the log retains.", "records", 2000, 10, 1_000_000,
		func(s *Settings) *int64 { return &s.Platform.SnapshotEveryRecords })
	g.requiredAddr(PlatformKindLog, "host_list_addr", "Address of the host list.", "192.0.2.20:7101",
		func(s *Settings) *string { return &s.Platform.HostListAddr })
	g.duration("host_list_interval", "Time between two reads of the host list.", 2*time.Second, 100*time.Millisecond, 10*time.Minute,
		func(s *Settings) *time.Duration { return &s.Platform.HostListInterval })
	g.add(field{
		key:         "weight_store_addr",
		description: "Address of the weight store that engines load from. Empty: daemons assign no models to engines.",
		unit:        "IP:port",
		allowed:     allowedAddr + "; or empty",
		set:         setter(parseOptionalAddr, func(s *Settings) *string { return &s.Platform.WeightStoreAddr }),
	})
	g.duration("placement_lease", "Duration of the lease to assign models. If its holder fails, another daemon takes over after about as long.", 30*time.Second, time.Second, 10*time.Minute,
		func(s *Settings) *time.Duration { return &s.Platform.PlacementLease })
	return g.fields
}

func limitsFields() []field {
	g := &sectionBuilder{
		section: "limits",
	}
	g.integer("max_body_bytes", "Largest body of a request.", "bytes", mebibyte, kibibyte, 64*mebibyte,
		func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes })
	g.integer("max_header_bytes", "Largest header of a request.", "bytes", 16*kibibyte, kibibyte, mebibyte,
		func(s *Settings) *int64 { return &s.Limits.MaxHeaderBytes })
	g.integer("max_connections", "Open connections of callers; more wait to be accepted.", "connections", 4096, 1, 1_000_000,
		func(s *Settings) *int64 { return &s.Limits.MaxConnections })
	g.integer("max_in_flight", "Requests in flight; more are rejected as not run.", "requests", 2048, 1, 1_000_000,
		func(s *Settings) *int64 { return &s.Limits.MaxInFlight })
	g.duration("read_header_timeout", "Longest time to receive a request's header.", 5*time.Second, 100*time.Millisecond, 5*time.Minute,
		func(s *Settings) *time.Duration { return &s.Limits.ReadHeaderTimeout })
	g.duration("read_timeout", "Longest time to receive a complete request.", 10*time.Second, 100*time.Millisecond, 10*time.Minute,
		func(s *Settings) *time.Duration { return &s.Limits.ReadTimeout })
	g.duration("write_timeout", "Longest time from a request's header to the end of its response, streams included.", 5*time.Minute, time.Second, 24*time.Hour,
		func(s *Settings) *time.Duration { return &s.Limits.WriteTimeout })
	g.duration("idle_timeout", "Longest time that an idle connection stays open.", 2*time.Minute, time.Second, 24*time.Hour,
		func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout })
	return g.fields
}

func drainFields() []field {
	g := &sectionBuilder{
		section: "drain",
	}
	g.duration("keep_answers", "How long callers may cache resolved addresses. A draining daemon keeps serving for as long, with platform kind keyed_log for three times as long.", 10*time.Second, 100*time.Millisecond, time.Hour,
		func(s *Settings) *time.Duration { return &s.Drain.ResolveTTL })
	g.duration("grace", "Longest wait for requests in flight after that, with platform kind keyed_log from the start of draining until the process ends.", time.Minute, 100*time.Millisecond, 24*time.Hour,
		func(s *Settings) *time.Duration { return &s.Drain.Grace })
	return g.fields
}

func keysFields() []field {
	g := &sectionBuilder{
		section: "keys",
	}
	g.duration("window", "How long an idempotency key and its response are retained.", time.Hour, time.Second, 7*24*time.Hour,
		func(s *Settings) *time.Duration { return &s.Keys.ResultWindow })
	return g.fields
}

func retryFields() []field {
	g := &sectionBuilder{
		section: "retry",
	}
	g.number("ratio", "Retries and hedges as a share of recent calls.", "share", 0.1, 0, 1,
		func(s *Settings) *float64 { return &s.Retry.Ratio })
	g.integer("burst", "Retries and hedges that may be sent at once.", "calls", 10, 1, 10_000,
		func(s *Settings) *int64 { return &s.Retry.Burst })
	return g.fields
}

func upstreamsFields() []field {
	g := &sectionBuilder{
		section: "upstreams",
	}
	g.duration("leave_bound", "How long after the store lists an upstream as leaving, or no longer, requests may reach it. Used with platform kind keyed_log.", 2*time.Second, 500*time.Millisecond, time.Minute,
		func(s *Settings) *time.Duration { return &s.Upstreams.LeaveBound })
	g.number("cold_over", "A cold upstream gets this many times its cold rate in any second, from all daemons together. Unused without a cold rate.", "factor", 1, 0.01, 1000,
		func(s *Settings) *float64 { return &s.Upstreams.ColdOver })
	g.number("cold_slack", "Requests that a cold upstream may get in any second beyond that.", "requests", 0, 0, 1_000_000,
		func(s *Settings) *float64 { return &s.Upstreams.ColdSlack })
	return g.fields
}

func hedgeFields() []field {
	g := &sectionBuilder{
		section: "hedge",
	}
	g.number("extra_work", "Limit of the time that upstreams may spend on second attempts at slow requests, as a share of the time that they spend on the requests of a pool. 0 turns these second attempts off.", "share", 0, 0, 1,
		func(s *Settings) *float64 { return &s.Hedge.ExtraWork })
	return g.fields
}

func admissionFields() []field {
	g := &sectionBuilder{
		section: "admission",
	}
	g.enum("workspace_shares", "How the workspaces share the capacity for stages when there is more work: not at all, or equally by work. The same for all daemons.", SharesOff, []string{
		SharesOff,
		SharesFair,
	}, func(s *Settings) *string { return &s.Admission.WorkspaceShares })
	return g.fields
}

func logFields() []field {
	g := &sectionBuilder{
		section: "log",
	}
	g.enum("level", "Minimum level that is logged.", "info", []string{
		"debug",
		"info",
		"warn",
		"error",
	}, func(s *Settings) *string { return &s.Log.Level })
	g.enum("format", "Format of a log line.", "json", []string{
		"json",
		"console",
	}, func(s *Settings) *string { return &s.Log.Format })
	return g.fields
}
