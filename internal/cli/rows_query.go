package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"sequoiafork/internal/wire/operatorapi"
)

func listRoutes(ctx context.Context, c *operatorapi.Client) (rowList[operatorapi.RouteSpec], error) {
	wire, err := c.ListRoutes(ctx)
	if err != nil {
		return rowList[operatorapi.RouteSpec]{}, err
	}
	all := rowList[operatorapi.RouteSpec]{
		revision: wire.Revision,
		wire:     wire,
	}
	for i := range wire.Rows {
		all.rows = append(all.rows, routeFromWire(&wire.Rows[i]))
	}
	return all, nil
}

func showRoute(ctx context.Context, c *operatorapi.Client, name string) (row[operatorapi.RouteSpec], error) {
	wire, err := c.ShowRoute(ctx, operatorapi.ShowRouteParams{
		Name: name,
	})
	if err != nil {
		return row[operatorapi.RouteSpec]{}, err
	}
	return routeFromWire(wire), nil
}

func routeFromWire(wire *operatorapi.RouteRow) row[operatorapi.RouteSpec] {
	return row[operatorapi.RouteSpec]{
		name:     wire.Name,
		revision: wire.Revision,
		spec:     wire.Route,
		wire:     wire,
	}
}

func listPools(ctx context.Context, c *operatorapi.Client) (rowList[operatorapi.PoolSpec], error) {
	wire, err := c.ListPools(ctx)
	if err != nil {
		return rowList[operatorapi.PoolSpec]{}, err
	}
	all := rowList[operatorapi.PoolSpec]{
		revision: wire.Revision,
		wire:     wire,
	}
	for i := range wire.Rows {
		all.rows = append(all.rows, poolFromWire(&wire.Rows[i]))
	}
	return all, nil
}

func showPool(ctx context.Context, c *operatorapi.Client, name string) (row[operatorapi.PoolSpec], error) {
	wire, err := c.ShowPool(ctx, operatorapi.ShowPoolParams{
		Name: name,
	})
	if err != nil {
		return row[operatorapi.PoolSpec]{}, err
	}
	return poolFromWire(wire), nil
}

func poolFromWire(wire *operatorapi.PoolRow) row[operatorapi.PoolSpec] {
	return row[operatorapi.PoolSpec]{
		name:     wire.Name,
		revision: wire.Revision,
		spec:     wire.Pool,
		wire:     wire,
	}
}

func routeSummary(route operatorapi.RouteSpec) string {
	fields := []string{
		(time.Duration(route.DeadlineMs) * time.Millisecond).String(),
	}
	for _, s := range route.Stages {
		fields = append(fields, s.Name+":"+s.Pool)
	}
	return strings.Join(fields, " ")
}

func poolSummary(pool operatorapi.PoolSpec) string {
	return fmt.Sprintf("%s %s x%d %s", pool.Kind, pool.Service, pool.Concurrency, strings.Join(pool.Models, " "))
}
