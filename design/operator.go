package design

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck
)

// ConflictError names the change that won.
var ConflictError = Type("ConflictError", func() {
	Description("Another change was stored first.")
	Attribute("message", String)
	Attribute("version", UInt64, "Stored version.")
	Attribute("era", UInt64, "Era of the stored version; 0 for a store that has none.", func() { Default(0) })
	Attribute("change_id", String, "Id of the stored change.")
	Attribute("author", String, "Author of the stored change.")
	Attribute("at", String, "Time of the stored change.", func() { Format(FormatDateTime) })
	Attribute("note", String, "Note of the stored change.")
	Required("message", "version", "change_id", "author", "at")
})

// InvalidError lists every fault of a refused change.
var InvalidError = Type("InvalidError", func() {
	Description("The change was refused; nothing was stored.")
	Attribute("message", String)
	Attribute("faults", ArrayOf(String), "All faults found.")
	Required("message", "faults")
})

// UnavailableError reports a change whose outcome is unknown.
var UnavailableError = Type("UnavailableError", func() {
	Description("The platform did not answer; a change may have been stored. Read back under the change id.")
	Attribute("message", String)
	Attribute("change_id", String, "Id of the change whose outcome is unknown.")
	Required("message")
})

// changeAttributes adds what identifies a change.
func changeAttributes() {
	Attribute("change_id", String, "Unique id of the change, made by the client; a repeat under it is idempotent.")
	Attribute("author", String, "Who makes the change.")
	Attribute("note", String, "Why the change is made.")
}

// changeErrors adds the errors of methods that store a change.
func changeErrors() {
	Error("conflict", ConflictError)
	Error("invalid", InvalidError)
	Error("unavailable", UnavailableError)
	Error("not_ready", ErrorResult, "The entry has no configuration yet.", func() { Temporary() })
}

// changeResponses maps changeErrors to HTTP statuses.
func changeResponses() {
	Response("conflict", StatusConflict)
	Response("invalid", StatusUnprocessableEntity)
	Response("unavailable", StatusServiceUnavailable)
	Response("not_ready", StatusServiceUnavailable)
}

var _ = Service("operator", func() {
	Description("Configuration, exceptions, status and decisions.")
	HTTP(func() { Path("/operator/v1") })

	Method("get_configuration", func() {
		Description("Return the configuration in force at this entry.")
		documentResult("Configuration document.")
		Error("not_ready", ErrorResult, "The entry has no configuration yet.", func() { Temporary() })
		HTTP(func() {
			GET("/configuration")
			documentResponse()
			Response("not_ready", StatusServiceUnavailable)
		})
	})

	Method("apply_configuration", func() {
		Description("Check and store the whole configuration if the expected version is still stored.")
		Payload(func() {
			Attribute("expected_version", UInt64, "Version that the change rests on; 0 creates the first.")
			Attribute("expected_era", UInt64, "Era of that version; the document's when absent.", func() { Default(0) })
			document("configuration", "Defaults and exceptions as one document.")
			changeAttributes()
			Attribute("dry_run", Boolean, "Check only.", func() { Default(false) })
			Required("expected_version", "configuration", "change_id", "author")
		})
		documentResult("Configuration as stored, or as it would be stored.")
		changeErrors()
		HTTP(func() {
			PUT("/configuration")
			documentResponse()
			changeResponses()
		})
	})

	Method("add_exception", func() {
		Description("Store one more exception.")
		Payload(func() {
			changeAttributes()
			Attribute("id", String, "Exception id; the change id when absent.")
			Attribute("setting", String, "Setting that the exception overrides.")
			Attribute("target_kind", String, "Kind of target.")
			Attribute("target", String, "Target id or name.")
			Attribute("value", String, "Value in the setting's unit.")
			Attribute("reason", String, "Written reason.")
			Attribute("expires_in", String, "Time to expiry such as 2h; never when absent.")
			Required("change_id", "author", "setting", "target_kind", "target", "value", "reason")
		})
		documentResult("Configuration as stored.")
		changeErrors()
		HTTP(func() {
			POST("/exceptions")
			documentResponse()
			changeResponses()
		})
	})

	Method("list_exceptions", func() {
		Description("Return the exceptions in force or expired at this entry.")
		documentResult("List of exceptions.")
		Error("not_ready", ErrorResult, "The entry has no configuration yet.", func() { Temporary() })
		HTTP(func() {
			GET("/exceptions")
			documentResponse()
			Response("not_ready", StatusServiceUnavailable)
		})
	})

	Method("remove_exception", func() {
		Description("Remove one exception.")
		Payload(func() {
			changeAttributes()
			Attribute("id", String, "Exception id.")
			Required("id", "change_id", "author")
		})
		documentResult("Configuration as stored.")
		changeErrors()
		Error("not_found", ErrorResult, "No such exception.")
		HTTP(func() {
			DELETE("/exceptions")
			Param("id")
			Param("change_id")
			Param("author")
			Param("note")
			documentResponse()
			changeResponses()
			Response("not_found", StatusNotFound)
		})
	})

	Method("status", func() {
		Description("Return entries, zones, upstreams and where the stored version is in force.")
		documentResult("Status document.")
		Error("unavailable", UnavailableError)
		HTTP(func() {
			GET("/status")
			documentResponse()
			Response("unavailable", StatusServiceUnavailable)
		})
	})

	Method("decisions", func() {
		Description("Return recent decisions of this entry, newest first.")
		Payload(func() {
			Attribute("kind", String, "Kind of decision; all when absent.")
			Attribute("request", String, "Request id; all when absent.")
			Attribute("limit", Int, "Most decisions to return.", func() {
				Minimum(1)
				Maximum(10000)
				Default(100)
			})
		})
		documentResult("List of decisions.")
		HTTP(func() {
			GET("/decisions")
			Param("kind")
			Param("request")
			Param("limit")
			documentResponse()
		})
	})
})
