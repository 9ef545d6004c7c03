package rowtext

import (
	"strconv"
	"strings"

	"sequoiafork/internal/wire/operatorapi"
)

const (
	allowedPool     = "kind= service= concurrency= models= shares= fencing="
	allowedKind     = "encoder, retriever, reranker, engine or service"
	allowedPositive = "a whole number above 0"
	allowedShares   = "WORKSPACE:WEIGHT,..."
	allowedFencing  = "yes or no"
)

// ApplyPool returns the pool with the values of the key=value fields set.
func ApplyPool(pool operatorapi.PoolSpec, fields []string) (operatorapi.PoolSpec, error) {
	err := applyFields(fields, map[string]setter{
		"kind": func(value string) error {
			pool.Kind = value
			return requireValue("kind", value, allowedKind)
		},
		"service": func(value string) error {
			pool.Service = value
			return requireValue("service", value, "the service's name on the host list")
		},
		"concurrency": func(value string) error {
			n, err := parsePositive("concurrency", value)
			pool.Concurrency = n
			return err
		},
		"models": func(value string) error {
			pool.Models = splitList(value)
			return nil
		},
		"shares": func(value string) error {
			shares, err := parseShares(value)
			pool.Shares = shares
			return err
		},
		"fencing": func(value string) error {
			if value != "yes" && value != "no" {
				return &SyntaxError{
					Key:     "fencing",
					Value:   value,
					Allowed: allowedFencing,
				}
			}
			pool.ChecksFencing = operatorapi.NewOptBool(value == "yes")
			return nil
		},
	}, allowedPool)
	return pool, err
}

func requireValue(key, value, allowed string) error {
	if value != "" {
		return nil
	}
	return &SyntaxError{
		Key:     key,
		Allowed: allowed,
	}
}

func parsePositive(key, value string) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n <= 0 {
		return 0, &SyntaxError{
			Key:     key,
			Value:   value,
			Allowed: allowedPositive,
		}
	}
	return n, nil
}

func parseShares(text string) ([]operatorapi.Share, error) {
	var shares []operatorapi.Share
	for _, part := range splitList(text) {
		colon := strings.LastIndex(part, ":")
		if colon <= 0 {
			return nil, &SyntaxError{
				Key:     "shares",
				Value:   text,
				Allowed: allowedShares,
			}
		}
		weight, err := parsePositive("shares", part[colon+1:])
		if err != nil {
			return nil, err
		}
		shares = append(shares, operatorapi.Share{
			Workspace: part[:colon],
			Weight:    weight,
		})
	}
	return shares, nil
}

// FormatPool returns the key=value fields of the pool.
func FormatPool(pool operatorapi.PoolSpec) []string {
	fields := []string{
		"kind=" + pool.Kind,
		"service=" + pool.Service,
		"concurrency=" + strconv.FormatInt(pool.Concurrency, 10),
	}
	if len(pool.Models) > 0 {
		fields = append(fields, "models="+strings.Join(pool.Models, ","))
	}
	var shares []string
	for _, s := range pool.Shares {
		shares = append(shares, s.Workspace+":"+strconv.FormatInt(s.Weight, 10))
	}
	if len(shares) > 0 {
		fields = append(fields, "shares="+strings.Join(shares, ","))
	}
	if pool.ChecksFencing.Or(false) {
		fields = append(fields, "fencing=yes")
	}
	return fields
}
