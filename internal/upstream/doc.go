// Package upstream follows the host list and talks to engines and app
// services.
package upstream
