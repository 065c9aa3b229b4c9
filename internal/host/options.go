package host

import (
	"cowslipgw/internal/event"
	"cowslipgw/internal/settings"
	"cowslipgw/internal/trace"
	"cowslipgw/internal/transport"
)

// Options configures a Host. All fields are required.
type Options struct {
	Settings settings.Host
	Network  transport.Network
	Logger   *event.Logger
	Tracer   *trace.Tracer
}
