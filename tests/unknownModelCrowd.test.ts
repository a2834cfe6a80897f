/**
 * A crowd whose requests each name another model that nobody serves.
 *
 * @module
 */
import { after, before, test } from "node:test";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { holdCrowd, KNOWN_PATH, manyModels } from "./support/hostileCrowd.js";

const CONNECTIONS = 40;
const REQUESTS = 300;

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

// Guards against names that callers choose and that a host keeps beside its memory budget.
test("names of models that nobody serves take more than a machine's memory", context => {
    const pieces = (id: string): readonly Buffer[] => [manyModels(KNOWN_PATH.callers, REQUESTS, id)];
    return holdCrowd(context, bundled, [{ connections: CONNECTIONS, port: "callers", pieces }]);
});
