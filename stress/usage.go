package stress

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// usage sums up the resources that hosts used since their start.
type usage struct {
	// cpu is the processor time in seconds.
	cpu float64
	// bytes and objects are the total heap allocations, including freed ones.
	bytes   float64
	objects float64
}

// sub returns the difference to an earlier usage.
func (u usage) sub(o usage) usage {
	return usage{u.cpu - o.cpu, u.bytes - o.bytes, u.objects - o.objects}
}

// hostUsage reads the metrics of all hosts and returns their total usage.
func (r *runner) hostUsage(ctx context.Context) (usage, error) {
	var u usage
	for _, h := range r.options.Hosts {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h+"/metrics", nil)
		if err != nil {
			return u, err
		}
		a, err := r.client.Do(q)
		if err != nil {
			return u, fmt.Errorf("can't read the metrics of %s, which must be the caller address of a running host: %w", h, err)
		}
		for s := bufio.NewScanner(a.Body); s.Scan(); {
			u = u.addMetric(s.Text())
		}
		_ = a.Body.Close()
	}
	return u, nil
}

// addMetric returns the usage plus the value of one line of the metrics, if the line is about usage.
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
