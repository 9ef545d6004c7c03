package table

import (
	"fmt"
	"slices"
	"time"
)

func validateRoute(p *problems, r Route) {
	p.checkName("name", r.Name)
	p.checkDuration("deadline_ms", r.Deadline, MinDeadline, MaxDeadline)
	if len(r.Stages) == 0 || len(r.Stages) > MaxStages {
		p.add("stages", "has %d stages: use 1 to %d", len(r.Stages), MaxStages)
		return
	}
	seen := make(map[string]bool, len(r.Stages))
	for i, s := range r.Stages {
		field := stageField(i)
		if seen[s.Name] {
			p.add(field+".name", "%q is used twice: give each stage its own name", s.Name)
		}
		seen[s.Name] = true
		validateStage(p, field, s, r.Deadline)
	}
}

func stageField(i int) string {
	return fmt.Sprintf("stages[%d]", i)
}

func validateStage(p *problems, field string, s Stage, deadline time.Duration) {
	p.checkName(field+".name", s.Name)
	p.checkName(field+".pool", s.Pool)
	if s.Model != "" {
		p.checkModelName(field+".model", s.Model)
	}
	if s.NonIdempotent && s.Cacheable {
		p.add(field+".reusable", "can't be set on a stage that is not repeatable: clear one of the two")
	}
	if s.Timeout != 0 {
		p.checkDuration(field+".timeout_ms", s.Timeout, time.Millisecond, max(deadline, time.Millisecond))
	}
	p.checkRange(field+".max_tokens", s.MaxTokens, 0, MaxTokens)
}

// checkRoute checks that each stage's pool exists and serves the stage's model.
func (t *Tables) checkRoute(p *problems, r Route) {
	for i, s := range r.Stages {
		row, ok := t.Pool(s.Pool)
		if !ok {
			p.add(stageField(i)+".pool", "%q is no pool: create the pool first", s.Pool)
			continue
		}
		checkModel(p, stageField(i), s, row.Value)
	}
}

func checkModel(p *problems, field string, s Stage, pool Pool) {
	if s.Model == "" {
		if pool.Kind == KindEngine {
			p.add(field+".model", "is empty: pool %q has engines, so name one of its models", pool.Name)
		}
		return
	}
	if !slices.Contains(pool.Models, s.Model) {
		p.add(field+".model", "%q is not served by pool %q: add it to the pool's models first", s.Model, pool.Name)
	}
}
