package main

import "fmt"

const hostName = "ficu95.example"

// route is one route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeout, target             string
	priority                    int
}

// putConfig writes config/main with the routes and services, which the store acknowledges when putConfig returns.
func (w *world) putConfig(version int, routes []route, services []string) {
	resources := []any{}
	for _, r := range routes {
		resources = append(resources, map[string]any{
			"resource_kind": "routes", "metadata": map[string]any{"name": r.name},
			"spec": map[string]any{
				"host": hostName, "path_prefix": r.prefix, "kind": r.kind, "timeout": r.timeout, "target_latency": r.target,
				"priority": r.priority, "service": r.service, "max_attempts": 2, "sticky_sessions": true, "allowed_regions": []string{},
			},
		})
	}
	for _, name := range services {
		resources = append(resources, map[string]any{
			"resource_kind": "services", "metadata": map[string]any{"name": name},
			"spec": map[string]any{
				"health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start": "3s", "cold_per_s": 2.7,
			},
		})
	}
	resources = append(resources, map[string]any{
		"resource_kind": "limits", "metadata": map[string]any{},
		"spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	w.store.put("config", "main", map[string]any{"version": version, "resources": resources})
	w.record.line("operator: config/main version %d acknowledged", version)
}

func (r route) path(i int) string { return fmt.Sprintf("%s%d", r.prefix, i) }
