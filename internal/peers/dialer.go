package peers

import "net"

// NewDialer returns a dialer for connections from self to other hosts. The connections start at
// the IP address of self's record, by which the other hosts tell it from callers.
func NewDialer(self Host) *net.Dialer {
	dialer := &net.Dialer{KeepAlive: -1}
	if addr, err := net.ResolveTCPAddr("tcp4", self.Addr); err == nil && addr.IP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: addr.IP}
	}
	return dialer
}
