package main

// registreNational is the settings object of the wire page for registre-national with the figures of its site file: %RECORD%
// is what the class record may do.
const registreNational = `{"classes":[
 {"effect":"repeatable","group":"all","hardLimitMs":1000,"lateValue":0.2,"name":"browse","promiseMs":300,"stream":false,"windowMs":5000,"worth":1},
 {"effect":"repeatable","group":"all","hardLimitMs":2500,"lateValue":0,"name":"my-report","promiseMs":750,"stream":false,"windowMs":5000,"worth":2},
 {"effect":"repeatable","group":"all","hardLimitMs":1000,"lateValue":0.2,"name":"match-check","promiseMs":300,"stream":false,"windowMs":5000,"worth":3},
 {"effect":"%RECORD%","group":"cell","hardLimitMs":2000,"lateValue":0.7,"name":"record","promiseMs":600,"stream":false,"windowMs":2000,"worth":3}],
 "clients":{"marksRetry":false},
 "costs":{"connection":0,"crossZone":0.01,"handshake":0,"lateFail":0.05,"membershipMode":0,"moves":0,"origin":0,"peer":0.01,"probe":0.01,"waste":0.03},
 "family":"replicas",
 "familyInfo":{"answersStamped":true,"consistency":["lag_bound","causal","eventual","mutate"],"countedFromMs":0,"notes":"","oldestDataMs":[300,0,0,0],
  "reportX0":"","reportX1":"","roleInList":"none","sync":true,"waitMs":20,"whenBehind":"await","writeMarks":"brought"},
 "fleetSize":2,
 "limits":{"cancelling":true,"connectTimeoutMs":250,"cpuUsPerRequest":0,"cpuUsPerS":500000,"keepaliveMs":15000,"maxAttempts":10,"maxOpen":20000,
  "maxRetryAfterMs":1000,"mayDuplicate":false,"multiplex":1,"peers":true,"probes":true,"retryAfter":true},
 "loadReport":{"fields":["x0","x1","util"],"how":"answers"},
 "locality":0,"machineTypes":["std-4c","eco-5c"],"membershipMode":"ask","myNumber":0,
 "objectiveMix":{"whole":0.5,"worstClass":0.2,"worstTenant":0,"worstWindow":0.3},"overShareWorth":0.1,"parties":[],
 "rules":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.17,"coldMs":16000,"drainGraceMs":250,"fallMultiple":2,"overloadForMs":1000},
 "tickMs":5,"tier":0,"tiers":["base-registre"],"valueBy":"request","weights":"none","zones":["rabat-agdal","casa-sidi-maarouf"]}`

// coreCatalogue is the same for core-catalogue-ch.
const coreCatalogue = `{"classes":[
 {"effect":"repeatable","group":"all","hardLimitMs":2000,"lateValue":0,"name":"browse","promiseMs":600,"stream":false,"windowMs":5000,"worth":1},
 {"effect":"repeatable","group":"all","hardLimitMs":2000,"lateValue":0.2,"name":"own-edits","promiseMs":500,"stream":false,"windowMs":5000,"worth":1},
 {"effect":"repeatable","group":"all","hardLimitMs":15000,"lateValue":0,"name":"borehole-report","promiseMs":8000,"stream":false,"windowMs":5000,"worth":6},
 {"effect":"by_key","group":"cell","hardLimitMs":3000,"lateValue":0.7,"name":"log-entry","promiseMs":1200,"stream":false,"windowMs":2000,"worth":3}],
 "clients":{"marksRetry":false},
 "costs":{"connection":0,"crossZone":0.027,"handshake":0,"lateFail":0.037,"membershipMode":0,"moves":0,"origin":0,"peer":0.01,"probe":0.015,"waste":0.05},
 "family":"replicas",
 "familyInfo":{"answersStamped":false,"consistency":["lag_bound","causal","eventual","mutate"],"countedFromMs":0,"notes":"","oldestDataMs":[300,0,0,0],
  "reportX0":"","reportX1":"","roleInList":"static","sync":true,"waitMs":0,"whenBehind":"bounce","writeMarks":"brought"},
 "fleetSize":23,
 "limits":{"cancelling":true,"connectTimeoutMs":250,"cpuUsPerRequest":0,"cpuUsPerS":400000,"keepaliveMs":15000,"maxAttempts":6,"maxOpen":20000,
  "maxRetryAfterMs":1000,"mayDuplicate":false,"multiplex":1,"peers":true,"probes":true,"retryAfter":true},
 "loadReport":{"fields":["x0","x1"],"how":"probe"},
 "locality":0,"machineTypes":["std-4"],"membershipMode":"push","myNumber":0,
 "objectiveMix":{"whole":0.5,"worstClass":0.2,"worstTenant":0,"worstWindow":0.3},"overShareWorth":0.1,"parties":[],
 "rules":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.21,"coldMs":18000,"drainGraceMs":250,"fallMultiple":3,"overloadForMs":1000,"softRemoval":true},
 "tickMs":5,"tier":0,"tiers":["catalogue-db"],"valueBy":"request","weights":"rough","zones":["zurich-west","zurich-oerlikon"]}`

// homebuyerCalc is the same for homebuyer-calc.
const homebuyerCalc = `{"classes":[
 {"effect":"repeatable","group":"all","hardLimitMs":600,"lateValue":0.2,"name":"rate-lookup","promiseMs":200,"stream":false,"windowMs":5000,"worth":3},
 {"effect":"repeatable","group":"all","hardLimitMs":750,"lateValue":0,"name":"my-scenarios","promiseMs":250,"stream":false,"windowMs":5000,"worth":3},
 {"effect":"repeatable","group":"all","hardLimitMs":2000,"lateValue":0,"name":"assistance-check","promiseMs":600,"stream":false,"windowMs":5000,"worth":1},
 {"effect":"repeatable","group":"all","hardLimitMs":8000,"lateValue":0,"name":"county-report","promiseMs":4000,"stream":false,"windowMs":5000,"worth":6},
 {"effect":"once","group":"all","hardLimitMs":3000,"lateValue":0.3,"name":"grant-reserve","promiseMs":600,"stream":false,"windowMs":5000,"worth":3}],
 "clients":{"marksRetry":false},
 "costs":{"connection":0,"crossZone":0.055,"handshake":0,"lateFail":0.049,"membershipMode":0,"moves":0,"origin":0,"peer":0.01,"probe":0.03,"waste":0.022},
 "family":"replicas",
 "familyInfo":{"answersStamped":true,"consistency":["lag_bound","causal","strong","eventual","mutate"],"countedFromMs":0,"notes":"","oldestDataMs":[300,0,0,0,0],
  "reportX0":"","reportX1":"","roleInList":"trailing","sync":false,"waitMs":0,"whenBehind":"none","writeMarks":"brought"},
 "fleetSize":59,
 "limits":{"cancelling":true,"connectTimeoutMs":250,"cpuUsPerRequest":0,"cpuUsPerS":400000,"keepaliveMs":15000,"maxAttempts":6,"maxOpen":20000,
  "maxRetryAfterMs":2000,"mayDuplicate":false,"multiplex":1,"peers":true,"probes":true,"retryAfter":false},
 "loadReport":{"fields":["x0","x1"],"how":"probe"},
 "locality":0,"machineTypes":["std-3core"],"membershipMode":"ask","myNumber":0,
 "objectiveMix":{"whole":0.4,"worstClass":0.2,"worstTenant":0,"worstWindow":0.4},"overShareWorth":0.1,"parties":[],
 "rules":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.23,"coldMs":15000,"drainGraceMs":250,"fallMultiple":4,"overloadForMs":1500,"softRemoval":true},
 "tickMs":5,"tier":0,"tiers":["scenario-db"],"valueBy":"request","weights":"rough","zones":["austin","dallas","houston"]}`
