/**
 * A host as a process before an engine that answers as a test says, with ordinary callers of another service beside it.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { type Socket } from "node:net";
import { type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { type BundledProgram, NODE_OPTIONS } from "./bundledProgram.js";
import { createEntrySettings, startEntryProgram, waitUntilProgramReady } from "./entryProgram.js";
import { callAuxiliaryServer, callHost, HOST_NAME } from "./entrySite.js";
import { readResidentBytes } from "./processMemory.js";
import { startRawServer } from "./rawServer.js";

/** Memory of the machine. */
const MACHINE_MEGABYTES = 350;

/** The platform takes a host that says nothing for this long for one that is not ready. */
const READINESS_MILLISECONDS = 1_000;

const POLL_MILLISECONDS = 20;
const ORDINARY_CALLERS = 8;
const ORDER_INTERVAL_MILLISECONDS = 50;

/** Time limits of the routes, which are also those of what an engine sends without end. */
export const ROUTE_TIMEOUT_MILLISECONDS = 4_000;

const BYTES_PER_MEGABYTE = 1_000_000;

/** Begins the answer to a request, whose identifier it names. */
export type Answer = (socket: Socket, requestId: string) => void;

/** What was seen of a host until now. */
export interface ObservedSite {
    readonly settings: { readonly callers: { readonly address: string; readonly port: number; }; };
    readonly store: PlatformStoreStandIn;
    readonly output: () => string;
    /** Fails where the host has ended, was near its memory, said nothing for too long, or did not serve an order. */
    assertHeld(): void;
}

const ROUTE = {
    host: HOST_NAME,
    timeoutMs: ROUTE_TIMEOUT_MILLISECONDS,
    targetLatencyMs: 400,
    priority: 0,
    maxAttempts: 1,
};

/** The configuration of the site. */
export const CONFIGURATION = {
    version: 1,
    routes: [
        { ...ROUTE, name: "read", pathPrefix: "/read/", kind: "idempotent", service: "pieces" },
        { ...ROUTE, name: "stream", pathPrefix: "/stream/", kind: "stream", service: "pieces" },
        { ...ROUTE, name: "order", pathPrefix: "/order/", kind: "non_idempotent", service: "orders" },
    ],
    services: [{ name: "pieces", maxConnections: 400 }, { name: "orders", maxConnections: 400 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** Calls steps again and again, with pauses, until it is closed. */
class Repeater {
    readonly #running: Promise<void>[] = [];
    #isClosed = false;

    start(pauseMilliseconds: number, step: () => Promise<void>): void {
        this.#running.push(this.#run(pauseMilliseconds, step));
    }

    async close(): Promise<void> {
        this.#isClosed = true;
        await Promise.all(this.#running);
    }

    async #run(pauseMilliseconds: number, step: () => Promise<void>): Promise<void> {
        while (!this.#isClosed) {
            await step();
            await delay(pauseMilliseconds);
        }
    }
}

/** What differs from a site with sound entries. */
export interface ObservedSiteOptions {
    /** Further entries of upstreams that are there when the host starts, by name. */
    readonly entries?: Readonly<Record<string, object>>;
}

/**
 * Starts the site.
 *
 * @param context The test; all that is started ends with it.
 * @param bundled The program.
 * @param answer How the engine of the service `pieces` answers.
 * @param options Further entries.
 */
export async function startObservedSite(
    context: TestContext,
    bundled: BundledProgram,
    answer: Answer,
    { entries = {} }: ObservedSiteOptions = {},
): Promise<ObservedSite> {
    const store = await PlatformStoreStandIn.start();
    const announced = await PlatformUpstreamStandIn.start({ id: "i-orders", slots: 500 });
    const engine = await startRawServer((socket, piece) => {
        const id = /flamingospread-request-id: (\S+)/i.exec(piece.toString("latin1"))?.[1];
        if (id !== undefined) {
            answer(socket, id);
        }
    });
    store.put("op/config", CONFIGURATION);
    store.put("servers/i-pieces", { ...announced.announcement("pieces"), address: engine.address });
    store.put("servers/i-orders", announced.announcement("orders"));
    Object.values(entries).forEach((entry, index) => store.put(`servers/x-${index}`, entry));
    const { callers, readiness, text } = await createEntrySettings(store.address, {
        memoryMegabytes: MACHINE_MEGABYTES,
    });
    const program = startEntryProgram(text, [...NODE_OPTIONS, bundled.launcher]);
    const repeater = new Repeater();
    const agents = Array.from({ length: ORDINARY_CALLERS }, () => new Agent({ keepAlive: true }));
    context.after(async () => {
        const stopped = repeater.close();
        await program.close();
        await stopped;
        agents.forEach(agent => agent.destroy());
        engine.close();
        await announced.close();
        await store.close();
    });
    await waitUntilProgramReady({ readiness });

    let peakMegabytes = 0;
    let slowestMilliseconds = 0;
    let askedAt = performance.now();
    const statuses: (number | undefined)[] = [];
    const settings = { callers: { address: "127.0.0.1", port: callers } };
    repeater.start(POLL_MILLISECONDS, async () => {
        const residentBytes = readResidentBytes(program.child.pid) ?? 0;
        peakMegabytes = Math.max(peakMegabytes, residentBytes / BYTES_PER_MEGABYTE);
        askedAt = performance.now();
        const ready = await callAuxiliaryServer({ address: "127.0.0.1", port: readiness }, "/ready").catch(() =>
            undefined
        );
        slowestMilliseconds = ready?.status === 200
            ? Math.max(slowestMilliseconds, performance.now() - askedAt)
            : Infinity;
    });
    for (const agent of agents) {
        repeater.start(ORDER_INTERVAL_MILLISECONDS, async () => {
            const { status } = await callHost({ settings }, { method: "POST", path: "/order/1", agent });
            statuses.push(status);
        });
    }
    return {
        settings,
        store,
        output: program.output,
        assertHeld() {
            const lost = statuses.filter(status => status !== 200);
            const silentMilliseconds = Math.max(slowestMilliseconds, performance.now() - askedAt);
            const seen = `${Math.round(peakMegabytes)} MB and ${Math.round(silentMilliseconds)} ms at most, `
                + `${statuses.length - lost.length} orders served, others: ${lost.join(" ")}`;
            context.diagnostic(seen);
            assert.equal(program.child.exitCode ?? program.child.signalCode, null, seen);
            assert.ok(peakMegabytes < MACHINE_MEGABYTES, seen);
            assert.ok(silentMilliseconds < READINESS_MILLISECONDS, seen);
            assert.ok(statuses.length > 0 && lost.length === 0, seen);
        },
    };
}
