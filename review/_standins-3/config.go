package main

// configuration returns a configuration like that of a small deployment: a model service with
// streams and a plain service, and one customer.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": "desk.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMs,
			"targetLatencyMs": targetMs, "priority": 1, "service": service, "maxAttempts": attempts, "public": false,
			"sessionAffinity": false, "streamResume": resume, "gapAimMs": 500,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("menu-draft", "/stream/", "streaming", "cake-llm", 15000, 800, 1, false),
			route("book-slot", "/book/", "non_idempotent", "booking-app", 2500, 150, 1, false),
			route("slot-check", "/check/", "idempotent", "booking-app", 2500, 150, 2, false),
		},
		"services": []any{
			map[string]any{"name": "cake-llm", "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false,
				"coldStartS": 3.0, "coldPerS": 18.0,
				"engine": map[string]any{"capacity": 128, "kvTokens": 832651, "kvBytes": 35136, "stride": 6}},
			map[string]any{"name": "booking-app", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
				"coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "desk", "apiKeys": []any{clientKey}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 222916, "burst": 222916}},
	}
}

// clientKey is the key of the customer.
const clientKey = "i9n73hh2b9wu3fexd9dn"
