/**
 * Crowds that follow from a seed: forms, sizes, paces and ports are mixed. `npx tsx tests/seededCrowds.test.ts 30` plays
 * the seeds up to 30 by hand; the test run plays one.
 *
 * @module
 */
import fc from "fast-check";
import { after, before, test } from "node:test";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import {
    type CrowdPart,
    holdCrowd,
    KNOWN_PATH,
    manyFields,
    openChunks,
    pipelined,
    shortBody,
} from "./support/hostileCrowd.js";
import { type PortName } from "./support/smallMachine.js";

const MAXIMUM_PARTS = 5;
const MAXIMUM_CONNECTIONS = 60;
const MAXIMUM_PACE_MILLISECONDS = 30;
const PIECES_OF_SLOW_PARTS = 100;

const PORTS: readonly PortName[] = ["callers", "directory", "metrics", "readiness", "state"];

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

type Render = (path: string, id: string) => Buffer;

const form = fc.oneof(
    fc.integer({ min: 1, max: 1_000 }).map((requests): Render => (path, id) => pipelined(path, requests, id)),
    fc.tuple(fc.integer({ min: 1, max: 40_000 }), fc.constantFrom(1, 1, 3, 40))
        .map(([chunks, bytes]): Render => (path, id) => openChunks(path, chunks, id, bytes)),
    fc.integer({ min: 1, max: 40 }).map((requests): Render => (path, id) => manyFields(path, requests, id)),
    fc.integer({ min: 2, max: 4_000_000 }).map((bytes): Render => (path, id) => shortBody(path, bytes, id)),
);

/** Cuts what a caller sends into equal pieces. */
function cut(bytes: Buffer, pieces: number): Buffer[] {
    const size = Math.ceil(bytes.length / pieces);
    return Array.from({ length: pieces }, (_, index) => bytes.subarray(index * size, (index + 1) * size));
}

const part: fc.Arbitrary<CrowdPart> = fc.record({
    connections: fc.integer({ min: 1, max: MAXIMUM_CONNECTIONS }),
    port: fc.constantFrom("callers" as const, "callers" as const, ...PORTS),
    isKnownPath: fc.boolean(),
    paceMilliseconds: fc.option(fc.integer({ min: 1, max: MAXIMUM_PACE_MILLISECONDS }), { nil: undefined }),
    render: form,
}).map(({ connections, isKnownPath, paceMilliseconds, port, render }) => ({
    connections,
    port,
    paceMilliseconds: paceMilliseconds ?? 0,
    pieces: id => {
        const bytes = render(isKnownPath ? KNOWN_PATH[port] : "/none", id);
        return cut(bytes, paceMilliseconds === undefined ? 1 : PIECES_OF_SLOW_PARTS);
    },
}));

const crowd = fc.array(part, { minLength: 2, maxLength: MAXIMUM_PARTS });

const FIRST_SEED = 1;
const seeds = Math.max(1, Number(process.argv[2] ?? 1) || 1);

// Guards against crowds that nobody has thought of.
for (let seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed += 1) {
    test(`a host outlives the crowd of seed ${seed}`, async context => {
        const [parts = []] = fc.sample(crowd, { seed, numRuns: 1 });
        await holdCrowd(context, bundled, parts);
    });
}
