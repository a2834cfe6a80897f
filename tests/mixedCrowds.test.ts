/**
 * Crowds that mix requests sent ahead, open bodies, small chunks and many header fields.
 *
 * @module
 */
import { after, before, test } from "node:test";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { type CrowdPart, holdCrowd, manyFields, openChunks, pipelined, shortBody } from "./support/hostileCrowd.js";

const CONNECTIONS = 40;

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

function mixedAt(port: CrowdPart["port"], path: string): readonly CrowdPart[] {
    const forms: readonly ((id: string) => Buffer)[] = [
        id => pipelined(path, 500, id),
        id => openChunks(path, 40_000, id),
        id => manyFields(path, 30, id),
        id => shortBody(path, 1_000_000, id),
    ];
    return forms.map(render => ({ connections: CONNECTIONS, port, pieces: id => [render(id)] }));
}

// Guards against limits that hold for each form of hostile request alone, and not for their sum.
for (
    const [name, parts] of Object.entries({
        "the callers' port": mixedAt("callers", "/orders/1"),
        "the port for metrics": mixedAt("metrics", "/metrics"),
    })
) {
    test(`a host outlives a mixed crowd at ${name}`, context => holdCrowd(context, bundled, parts));
}
