/**
 * Crowds that send hundreds of requests ahead on each connection and read no answers.
 *
 * @module
 */
import { after, before, test } from "node:test";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { type CrowdPart, holdCrowd, pipelined } from "./support/hostileCrowd.js";

const CONNECTIONS = 150;
const REQUESTS = 500;

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

function aheadAt(port: CrowdPart["port"], path: string): CrowdPart {
    return { connections: CONNECTIONS, port, pieces: id => [pipelined(path, REQUESTS, id)] };
}

const CROWDS: Readonly<Record<string, CrowdPart>> = {
    "at a routed path": aheadAt("callers", "/orders/1"),
    "at a path without a route": aheadAt("callers", "/none"),
    "at the readiness path of the callers' port": aheadAt("callers", "/ready"),
    "at the port for readiness": aheadAt("readiness", "/ready"),
    "at the port for the directory": aheadAt("directory", "/resolve"),
    "at the port for shared state": aheadAt("state", "/state"),
    "at the port for metrics": aheadAt("metrics", "/metrics"),
};

// Guards against a host that ends out of memory, since Node's parser emits all requests of a read before any limit holds.
for (const [name, part] of Object.entries(CROWDS)) {
    test(`a host outlives requests sent ahead ${name}`, context => holdCrowd(context, bundled, [part]));
}
