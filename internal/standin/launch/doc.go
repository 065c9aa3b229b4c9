// Package launch reads the configuration of stand-in processes and runs them. The
// file is INI; each section is a service:
//
//	[log]                    the log service
//	[hosts]                  the host list, which names the replicas of this file
//	[weights]                the weight store
//	[engine "NAME"]          model engines NAME-1, NAME-2, ...
//	[app "NAME"]             plain services NAME-1, NAME-2, ...
//
// Each section has the key listen, a loopback "ip:port". With the key replicas, an
// engine or app section listens on as many consecutive ports. A key that is not
// known is a fault.
package launch
