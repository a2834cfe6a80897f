import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, createServer, type RequestListener } from "node:http";
import { type AddressInfo } from "node:net";
import { mock, test, type TestContext } from "node:test";
import { createAnnouncement } from "../../tests/support/announcements.js";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { createEntryMetrics, type LogFields } from "../observability/index.js";
import { HealthProbes } from "./healthProbes.js";

interface ProbeFixture {
    readonly probes: HealthProbes;
    readonly clock: { nowMilliseconds: number; };
    /** Paths that the upstream was asked for. */
    readonly received: readonly string[];
    readonly statuses: readonly number[];
    readonly outcomes: readonly unknown[];
    readonly upstream: (id: string, service?: string) => UpstreamAnnouncement;
    /** Resolves once the upstream has received that many probes in all. */
    readonly receive: (count: number) => Promise<void>;
    /** Resolves once that many probes have ended in all. */
    readonly finish: (count: number) => Promise<void>;
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

async function startFixture(context: TestContext, answer: RequestListener): Promise<ProbeFixture> {
    const received: string[] = [];
    const statuses: number[] = [];
    const outcomes: unknown[] = [];
    const clock = { nowMilliseconds: 1_000 };
    const agent = new Agent();
    const server = createServer((request, response) => {
        received.push(request.url ?? "");
        answer(request, response);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const doNothing = (): void => undefined;
    const recordOutcome = (_message: string, fields?: LogFields): void => void outcomes.push(fields?.["outcome"]);
    const probes = new HealthProbes({
        acts: { afterReading: step => step() },
        logger: { error: doNothing, warn: doNothing, info: recordOutcome, debug: doNothing, close: doNothing },
        metrics: createEntryMetrics(),
        readClock: () => clock.nowMilliseconds,
        agentFor: () => agent,
        healthPathOf: service => service === "no-health" ? undefined : "/health",
        onAnswer: (_upstream, { status }) => void statuses.push(status),
    });
    context.after(() => {
        probes.close();
        agent.destroy();
        server.closeAllConnections();
        server.close();
    });
    return {
        probes,
        clock,
        received,
        statuses,
        outcomes,
        upstream: (id, service = "llm") => createAnnouncement([], { id, service, address: `127.0.0.1:${port}` }),
        receive: count => until(() => received.length >= count),
        finish: count => until(() => outcomes.length >= count),
    };
}

test("an upstream is probed at most once in 100 ms, whatever its answer's status", async context => {
    const fixture = await startFixture(context, (_request, response) => void response.writeHead(503).end());
    const { clock, outcomes, probes, received, statuses } = fixture;
    const upstream = fixture.upstream("one");
    probes.probe(upstream);
    probes.probe(upstream);
    await fixture.finish(1);
    clock.nowMilliseconds += 99;
    probes.probe(upstream);
    clock.nowMilliseconds += 1;
    probes.probe(upstream);
    await fixture.finish(2);
    assert.deepEqual(received, ["/health", "/health"]);
    assert.deepEqual(statuses, [503, 503]);
    assert.deepEqual(outcomes, ["answered", "answered"]);
});

test("two upstreams of a service may be probed within 100 ms, apart from those of other services", async context => {
    const { clock, probes, upstream } = await startFixture(context, (_request, response) => void response.end());
    probes.probe(upstream("one"));
    assert.ok(probes.mayProbeMore("llm"));
    probes.probe(upstream("two"));
    assert.ok(!probes.mayProbeMore("llm"));
    assert.ok(probes.mayProbeMore("stock"));
    clock.nowMilliseconds += 99;
    assert.ok(!probes.mayProbeMore("llm"));
    clock.nowMilliseconds += 1;
    assert.ok(probes.mayProbeMore("llm"));
});

test("a service without a health address is not probed", async context => {
    const { probes, upstream } = await startFixture(context, (_request, response) => void response.end());
    probes.probe(upstream("one", "no-health"));
    assert.ok(!probes.canProbe("no-health"));
    assert.ok(probes.canProbe("llm"));
    assert.ok(probes.mayProbeMore("no-health"));
});

test("a probe of an upstream that does not answer ends after 50 ms", async context => {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const { outcomes, probes, receive, upstream } = await startFixture(context, () => undefined);
    probes.probe(upstream("one"));
    await receive(1);
    mock.timers.tick(49);
    assert.deepEqual(outcomes, []);
    mock.timers.tick(1);
    assert.deepEqual(outcomes, ["silent"]);
});

test("a probe that a closing host has cancelled is not reported as silent", async context => {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const { outcomes, probes, receive, upstream } = await startFixture(context, () => undefined);
    probes.probe(upstream("one"));
    await receive(1);
    probes.close();
    mock.timers.tick(1_000);
    assert.deepEqual(outcomes, []);
});

test("an upstream that did not answer a probe counts as unanswered for 500 ms", async context => {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const { clock, probes, receive, upstream } = await startFixture(context, () => undefined);
    probes.probe(upstream("one"));
    await receive(1);
    assert.ok(!probes.wasUnanswered("one"));
    mock.timers.tick(50);
    assert.ok(probes.wasUnanswered("one"));
    clock.nowMilliseconds += 499;
    assert.ok(probes.wasUnanswered("one"));
    clock.nowMilliseconds += 1;
    assert.ok(!probes.wasUnanswered("one"));
});

test("a closed host probes no upstream", async context => {
    const { outcomes, probes, received, upstream } = await startFixture(context, (_request, response) => {
        response.end();
    });
    probes.close();
    probes.probe(upstream("one"));
    assert.ok(probes.mayProbeMore("llm"));
    assert.deepEqual(received, []);
    assert.deepEqual(outcomes, []);
});
