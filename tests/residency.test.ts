/**
 * New versions of all models while answers are lost and the holder is frozen past its lease: callers must see no
 * failure, and engines must record no violation.
 *
 * @module
 */
import assert from "node:assert/strict";
import { readFile, writeFile } from "node:fs/promises";
import { test } from "node:test";
import { type HostProcess, readJson, waitUntil } from "../demo/sites.js";
import { apply, chat, readEngine, setFaults, startTestSite, type TestSite } from "./_testSite.js";

const REQUIRED_COPIES = { quotes: 3, captions: 2 };
const CALL_INTERVAL_MILLISECONDS = 50;

interface PoolStatus {
    readonly pools?: { readonly pool?: { readonly holds: boolean; }; };
}

async function listHolders(hosts: readonly HostProcess[]): Promise<HostProcess[]> {
    const statuses = await Promise.all(hosts.map(({ callersUrl }) => readJson(`${callersUrl}/v1/status`)));
    return hosts.filter((_, index) => (statuses[index] as PoolStatus | undefined)?.pools?.pool?.holds === true);
}

async function readEngines(site: TestSite) {
    return Promise.all([...site.engines.values()].map(readEngine));
}

async function countCopies(site: TestSite, name: string, version: string): Promise<number> {
    const states = await readEngines(site);
    return states.filter(({ models }) => models.some(held => held.name === name && held.version === version)).length;
}

/** Calls every model repeatedly until stopped; `stop` returns the failures. */
function callModels(hosts: readonly HostProcess[]): { stop(): Promise<string[]>; } {
    const failures: string[] = [];
    let stopped = false;
    async function run(): Promise<void> {
        for (let index = 0; !stopped; index += 1) {
            const model = index % 2 === 0 ? "quotes" : "captions";
            const url = hosts[index % hosts.length]?.callersUrl ?? "";
            const outcome = await chat(url, { model, prompt: `Call ${index}` });
            if (!outcome.isComplete) {
                failures.push(`${model}: ${JSON.stringify(outcome.refusal)}`);
            }
            await new Promise(resolve => setTimeout(resolve, CALL_INTERVAL_MILLISECONDS));
        }
    }
    const running = run();
    return {
        async stop() {
            stopped = true;
            await running;
            return failures;
        },
    };
}

async function applyNextVersions(site: TestSite): Promise<void> {
    const text = await readFile(site.configurationFile, "utf8");
    await writeFile(site.configurationFile, text.replaceAll("\"version\": \"1\"", "\"version\": \"2\""));
    assert.equal((await apply(site)).code, 0);
}

for (const checksFencing of [true, false]) {
    const kind = checksFencing ? "check" : "ignore";
    test(`new versions are loaded despite lost answers and a holder frozen past its lease, on engines that ${kind} fencing`, async t => {
        const site = await startTestSite({
            engine: { checksFencing },
            editConfiguration: text => text.replace("\"checksFencing\": true", `"checksFencing": ${checksFencing}`),
        });
        t.after(() => site.close());
        const [holder] = await listHolders(site.hosts);
        assert.ok(holder !== undefined);
        const others = site.hosts.filter(({ name }) => name !== holder.name);
        const calls = callModels(others);
        await setFaults(site.keyValue, { dropAnswers: 3, pathPrefix: "/v3/kv/txn" });
        for (const engine of site.engines.values()) {
            await setFaults(engine, { dropAnswers: 1, pathPrefix: "/admin/orders" });
        }
        await applyNextVersions(site);
        await waitUntil(
            async () => await countCopies(site, "quotes", "2") > 0,
            "the holder begins to load the new version",
        );
        holder.process.child.kill("SIGSTOP");
        await waitUntil(async () => (await listHolders(others)).length === 1, "another host holds the pool");
        for (const [name, copies] of Object.entries(REQUIRED_COPIES)) {
            await waitUntil(
                async () => await countCopies(site, name, "2") >= copies,
                `${name} has its required copies`,
            );
        }
        holder.process.child.kill("SIGCONT");
        await waitUntil(
            async () => await readJson(`${holder.callersUrl}/v1/status`) !== undefined,
            "the former holder answers again",
        );
        await waitUntil(async () => (await listHolders(site.hosts)).length === 1, "one host holds the pool");
        assert.deepEqual(await calls.stop(), [], "a model was unavailable");
        assert.deepEqual((await readEngines(site)).flatMap(({ violations }) => violations), []);
    });
}
