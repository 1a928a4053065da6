package stress

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// usage is what hosts have used since their start: processor seconds, and allocated bytes and objects.
type usage struct {
	cpu     float64
	bytes   float64
	objects float64
}

func (u usage) sub(o usage) usage {
	return usage{u.cpu - o.cpu, u.bytes - o.bytes, u.objects - o.objects}
}

// hostUsage adds up the hosts' metrics.
func (r *runner) hostUsage(ctx context.Context) (usage, error) {
	var u usage
	for _, h := range r.options.Hosts {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h+"/metrics", nil)
		if err != nil {
			return u, err
		}
		a, err := r.client.Do(q)
		if err != nil {
			return u, fmt.Errorf("host %s: %w; name the caller addresses of running hosts", h, err)
		}
		for s := bufio.NewScanner(a.Body); s.Scan(); {
			u = u.addMetric(s.Text())
		}
		_ = a.Body.Close()
	}
	return u, nil
}

func (u usage) addMetric(line string) usage {
	n, t, _ := strings.Cut(line, " ")
	v, err := strconv.ParseFloat(t, 64)
	if err != nil {
		return u
	}
	switch n {
	case "process_cpu_seconds_total":
		u.cpu += v
	case "go_memstats_alloc_bytes_total":
		u.bytes += v
	case "go_memstats_mallocs_total":
		u.objects += v
	}
	return u
}
