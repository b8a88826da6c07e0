/** Settings of small deployments, with figures inside the ranges of the site files. */
final class Sites {
    private Sites() {}

    /** As at bergen-kurs: one paid class and one that may be repeated, load in answers, notes on playing sessions. */
    static String bergen(int balancers, int hosts, int positions, double tellMs) {
        return """
            {"accounts":[],"balancers":%d,"me":0,
             "classes":[{"giveUp":3000.0,"name":"kurs-logg","onTime":800.0,"repeat":"once","stream":true,"worth":3.0},
                        {"giveUp":5000.0,"name":"fri-visning","onTime":1500.0,"repeat":"repeatable","stream":true,"worth":1.0}],
             "clients":{"marksRetry":false},"discovery":"push","family":"streams",
             "familyInfo":{"allLinksKb":%s,"classSeats":[0,0],"classTop":[4,4],"floorByClass":[0,0],"guard":0.0,
                           "isLive":[false,false],"join":1.0,"kindSlots":[50,34],"levelKb":[200.0,380.0,640.0,1100.0,1900.0],
                           "positions":%d,"rackKb":%s,"racks":2,"scaleByClass":[1.0,1.0],"stall":7.0,"switchS":0.6,
                           "tell":%s,"toldLate":600.0,"weightKb":4300.0,"worthByRung":[0.2,0.45,0.65,0.85,1.0]},
             "fees":{"crossZone":0.02,"lateFail":0.08,"moves":0.13},"kinds":["k3-std","k2-std"],
             "limits":{"cancelling":true,"dialTimeout":250.0,"keepalive":15000.0,"maxOpen":20000,"maxRetryAfter":2000.0,
                       "mayTell":false,"parallelTries":false,"probing":false,"retryAfter":true,"streamsPerConn":32,"tryLimit":5},
             "localities":["hall-a","hall-b"],"zone":"hall-a","overShareWorth":0.1,
             "report":{"columns":["active","x0"],"how":"inline"},
             "rules":{"coldFrom":0.5,"drainGrace":250.0,"fall":1000.0,"fallMultiple":2.5,"graceToAnswer":40.0,"warmWithin":8000.0},
             "tier":0,"tiers":["kurs-media"],"weights":"nominal","worthBy":"request"}
            """
                .formatted(balancers, hosts * 8600.0 + "", positions, hosts * 4300.0 + "", tellMs + "");
    }

    /** As at klubb-video: three classes that may be repeated, of which one has a floor and seats; no notes. */
    static String klubb(int balancers, int positions, int seats) {
        return """
            {"accounts":[],"balancers":%d,"me":0,
             "classes":[{"giveUp":5000.0,"name":"short-clip","onTime":800.0,"repeat":"repeatable","stream":true,"worth":1.0},
                        {"giveUp":3000.0,"name":"audio-guide","onTime":1000.0,"repeat":"repeatable","stream":true,"worth":1.0},
                        {"giveUp":3000.0,"name":"board-course","onTime":1000.0,"repeat":"repeatable","stream":true,"worth":3.0}],
             "clients":{"marksRetry":false},"discovery":"push","family":"streams",
             "familyInfo":{"allLinksKb":87698.0,"classSeats":[0,0,%d],"classTop":[3,2,3],"floorByClass":[0,0,1],"guard":0.0,
                           "isLive":[false,false,false],"join":1.0,"kindSlots":[26,39],"levelKb":[184.0,398.0,863.0,1870.0],
                           "positions":%d,"rackKb":28620.0,"racks":2,"scaleByClass":[0.7,1.0,1.4],"stall":8.0,"switchS":0.82,
                           "tell":0.0,"toldLate":1013.105,"weightKb":7308.0,"worthByRung":[0.27,0.54,0.78,1.0]},
             "fees":{"lateFail":0.05,"moves":0.25,"probe":0.01},"kinds":["k2-std","k3-std"],
             "limits":{"cancelling":true,"dialTimeout":250.0,"keepalive":30000.0,"maxOpen":20000,"maxRetryAfter":2000.0,
                       "mayTell":false,"parallelTries":false,"probing":true,"retryAfter":true,"streamsPerConn":32,
                       "tryLimit":4},
             "localities":["hall-a"],"zone":"hall-a","overShareWorth":0.1,
             "report":{"columns":["x0","x1"],"how":"on_probe"},
             "rules":{"coldFrom":0.4,"drainGrace":2000.0,"extraRatio":0.2,"fall":2000.0,"fallMultiple":3.0,
                      "graceToAnswer":40.0,"ratioSpan":10000.0,"spareAttempts":5.0,"warmWithin":12000.0},
             "tier":0,"tiers":["media-fleet"],"weights":"off","worthBy":"request"}
            """
                .formatted(balancers, seats, positions);
    }
}
