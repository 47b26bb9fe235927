package design

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck
)

// LookupEntry is one entry of a look-up answer.
var LookupEntry = Type("LookupEntry", func() {
	Description("An entry instance that the caller may use.")
	Attribute("id", String, "Entry id.", func() { Example("entry-norte-1") })
	Attribute("address", String, "IP address and port.", func() { Example("127.0.0.1:8080") })
	Attribute("zone", String, "Availability zone.", func() { Example("sierra-norte-a") })
	Required("id", "address", "zone")
})

// LookupAnswer is the answer to a look-up.
var LookupAnswer = Type("LookupAnswer", func() {
	Description("Entries in the order in which the caller should try them.")
	Attribute("entries", ArrayOf(LookupEntry), "Entries, best first.")
	Attribute("ttl_seconds", Int, "How long the caller may keep the answer, in seconds.", func() { Minimum(1) })
	Attribute("configuration_version", UInt64, "Configuration version that the choice rests on.")
	Attribute("region", String, "Region that serves the caller.")
	Attribute("reason", String, "Why the region was chosen.")
	Required("entries", "ttl_seconds", "configuration_version", "region", "reason")
})

var _ = Service("lookup", func() {
	Description("Tells callers which entries to use.")
	HTTP(func() { Path("/eelgrassbeam/v1") })

	Method("lookup", func() {
		Description("Return the entries for the client's address block.")
		Payload(func() {
			Attribute("client", String, "Client IP address; the remote address when absent.", func() { Format(FormatIP) })
		})
		Result(LookupAnswer)
		Error("not_ready", ErrorResult, "The entry has no configuration or no live entry yet.", func() { Temporary() })
		HTTP(func() {
			GET("/lookup")
			Param("client")
			Response(StatusOK)
			Response("not_ready", StatusServiceUnavailable)
		})
	})
})
