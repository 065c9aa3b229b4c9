// Package launch reads the configuration of a stand-in process and runs its
// services. The configuration is an INI file in which each section defines
// services:
//
//	[log]                    the log service
//	[hosts]                  the host list, which lists the replicas of this file
//	[weights]                the weight store
//	[engine "NAME"]          model engines NAME-1, NAME-2, ...
//	[app "NAME"]             plain services NAME-1, NAME-2, ...
//
// Each section requires the key listen, a loopback "ip:port". With the key
// replicas, an engine or app section listens on that many consecutive ports. An
// unknown key is an error.
package launch
