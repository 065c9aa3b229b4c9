package main

// twoTenants are the tenants of a deployment in which one disturbs the other.
var twoTenants = []Tenant{{"hule930", []string{"3fexd9dnn2ctnfzs989a"}, 1, 1000, 1000}, {"mapa417", []string{"nu6wsjnbanfqasnmgkcu"}, 1, 1000, 1000}}

// oneTenant is the tenant of a deployment with a single customer.
var oneTenant = []Tenant{{"hule930", []string{"3fexd9dnn2ctnfzs989a", "nu6wsjnbanfqasnmgkcu"}, 1, 273, 273}}

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"large":    {twoTenants, playLarge},
	"handover": {twoTenants, playHandover},
	"revoke":   {oneTenant, playRevoke},
	"branch":   {twoTenants, playBranch},
	"full":     {twoTenants, playFull},
}
