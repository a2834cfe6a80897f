/**
 * Crowds whose requests come in very many small parts: chunks of one byte, or header fields of a few.
 *
 * @module
 */
import { after, before, test } from "node:test";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { type CrowdPart, holdCrowd, manyFields, openChunks } from "./support/hostileCrowd.js";

const CHUNK_CONNECTIONS = 100;
const CHUNKS = 40_000;
const FIELD_CONNECTIONS = 150;
const FIELD_REQUESTS = 30;

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

function inChunks(port: CrowdPart["port"], path: string): CrowdPart {
    return { connections: CHUNK_CONNECTIONS, port, pieces: id => [openChunks(path, CHUNKS, id)] };
}

function inFields(port: CrowdPart["port"], path: string): CrowdPart {
    return { connections: FIELD_CONNECTIONS, port, pieces: id => [manyFields(path, FIELD_REQUESTS, id)] };
}

const CROWDS: Readonly<Record<string, CrowdPart>> = {
    "chunks of one byte at a routed path": inChunks("callers", "/orders/1"),
    "chunks of one byte at a path without a route": inChunks("callers", "/none"),
    "chunks of one byte at the port for readiness": inChunks("readiness", "/ready"),
    "thousands of header fields at a routed path": inFields("callers", "/orders/1"),
    "thousands of header fields at a path without a route": inFields("callers", "/none"),
    "thousands of header fields at the port for the directory": inFields("directory", "/resolve"),
};

// Guards against a host that spends its memory or all of its time on what costs a caller a few bytes.
for (const [name, part] of Object.entries(CROWDS)) {
    test(`a host outlives ${name}`, context => holdCrowd(context, bundled, [part]));
}
