/**
 * Crowds that send very many header fields or trailers, and stop just short of their end.
 *
 * @module
 */
import { after, before, test } from "node:test";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { type CrowdPart, holdCrowd, KNOWN_PATH, unfinishedHead, unfinishedTrailers } from "./support/hostileCrowd.js";
import { type PortName } from "./support/smallMachine.js";

const CONNECTIONS = 1_500;

/** Bytes of a piece of a head that comes slowly. */
const PIECE_BYTES = 1_000;
const PACE_MILLISECONDS = 50;

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

function crowdAt(port: PortName, render: (path: string, id: string) => Buffer): CrowdPart {
    return { connections: CONNECTIONS, port, pieces: id => [render(KNOWN_PATH[port], id)] };
}

function inPieces(bytes: Buffer): Buffer[] {
    const count = Math.ceil(bytes.length / PIECE_BYTES);
    return Array.from({ length: count }, (_, index) => bytes.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES));
}

const CROWDS: Readonly<Record<string, CrowdPart>> = {
    "heads at the callers' port": crowdAt("callers", unfinishedHead),
    "heads at the port for metrics": crowdAt("metrics", unfinishedHead),
    "trailers at the callers' port": crowdAt("callers", unfinishedTrailers),
    "trailers behind an extension at the callers' port": crowdAt(
        "callers",
        (path, id) => unfinishedTrailers(path, id, ";a=b"),
    ),
    "heads in pieces at the callers' port": {
        connections: CONNECTIONS,
        port: "callers",
        pieces: id => inPieces(unfinishedHead(KNOWN_PATH.callers, id)),
        paceMilliseconds: PACE_MILLISECONDS,
    },
};

// Guards against strings that Node's parser makes of each field before any limit counts them.
for (const [name, part] of Object.entries(CROWDS)) {
    test(`unfinished ${name} take more than a machine's memory`, context => holdCrowd(context, bundled, [part]));
}
