/**
 * A fleet of more than one cell: what passes between cells, and how little the store is asked.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { divideIntoCells, openGossipLink } from "../src/gossip/index.js";
import { findFreePorts } from "../standins/freePorts.js";
import {
    askSmall,
    callHost,
    countLines,
    engineSettings,
    EntrySite,
    ready,
    type SiteHost,
    until,
} from "./support/entrySite.js";

const HOSTS = 20;

/** A request that waits repeats its wish this often, since datagrams may be lost. */
const WISH_AGAIN_MILLISECONDS = 120;

/** A configuration is in force on every host of a fleet of this size by then. */
const IN_FORCE_MILLISECONDS = 3_000;

/** All hosts serve by then after they have started together. */
const RECOVERED_MILLISECONDS = 15_000;

/** Hosts of a cell that watch the store. */
const WATCHERS_OF_CELL = 3;

const ENGINE = engineSettings(4, { quotes: 40 });

let site: EntrySite;
let hosts: SiteHost[];
let next: Readonly<Record<string, string>> = {};

/** The host that took the engine last: one that starts later may follow another. */
function lastHolder(): SiteHost | undefined {
    const taken = hosts.flatMap(host =>
        host.lines.filter(({ message }) => message === "engine taken")
            .map(({ fields }) => ({ host, revision: Number(fields["revision"]) }))
    );
    return taken.sort((left, right) => right.revision - left.revision)[0]?.host;
}

function cells(): SiteHost[][] {
    const placed = hosts.map(host => ({ host: host.name, zone: host.settings.zone, site: host }));
    return divideIntoCells(placed).map(cell => cell.map(member => member.site));
}

before(async () => {
    site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent" }, {
        pathPrefix: "/llm/",
        kind: "stream",
        service: "llm",
        resumable: true,
    }], ENGINE);
    await site.addUpstream({ id: "i-plain-1", slots: 50 });
    await site.addUpstream({ id: "i-plain-2", slots: 50, behave: () => ({ type: "answer", headers: next }) });
    await site.addUpstream(
        { id: "i-engine", models: { quotes: [] }, behave: () => ({ type: "stream", events: 3 }), slots: 8 },
        "llm",
    );
    hosts = [];
    for (let index = 0; index < HOSTS; index += 1) {
        hosts.push(await site.addHost(`entry-${String(index).padStart(2, "0")}`));
    }
    await Promise.all(hosts.map(host => ready(host, RECOVERED_MILLISECONDS)));
    await until(() => hosts.some(host => countLines(host, "engine taken") > 0), RECOVERED_MILLISECONDS);
    await delay(IN_FORCE_MILLISECONDS);
});

after(async () => {
    await site.close();
});

test("few hosts of each cell watch the store, and a change reaches all of them in time", async () => {
    const watchesBefore = site.store.calls.filter(path => path.startsWith("/kv-watch")).length;
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent" }, {
        pathPrefix: "/llm/",
        kind: "stream",
        service: "llm",
        resumable: true,
    }, { pathPrefix: "/new/" }], ENGINE);
    const version = site.version;
    const hasIt = (host: SiteHost): boolean =>
        host.lines.some(line => line.message === "configuration in force" && line.fields["version"] === version);
    await until(() => hosts.every(hasIt), IN_FORCE_MILLISECONDS);
    const watches = site.store.calls.filter(path => path.startsWith("/kv-watch")).length - watchesBefore;
    assert.ok(watches <= 2 * WATCHERS_OF_CELL * cells().length, `${watches} watches began for one change`);
});

test("a host of any cell gets an adapter from the engine's holder", async () => {
    const ends = cells().flatMap(cell => [cell[0], cell.at(-1)]).filter(host => host !== undefined);
    for (const [index, host] of ends.entries()) {
        const answer = await callHost(host, {
            path: "/llm/1",
            method: "POST",
            headers: { "Flamingospread-Model": `quotes/a${index}` },
        });
        assert.equal(answer.status, 200, `${host.name}: ${answer.body}`);
    }
});

test("a host of another cell that asks for an adapter is told of the engine, also where the adapter is there already", async context => {
    const holder = lastHolder();
    assert.ok(holder !== undefined);
    const inFirstCell = cells()[0]?.includes(holder) === true;
    const asker = inFirstCell ? "zz-asker" : "aa-asker";
    const [port = 0] = await findFreePorts(1);
    const told: string[][] = [];
    const link = await openGossipLink({
        address: "127.0.0.1",
        port,
        onMessage: message => {
            if (message.type === "news") {
                told.push(message.engine.models.flatMap(({ adapters }) => adapters));
            }
        },
        onProblem: () => undefined,
    });
    const address = `127.0.0.1:${port}`;
    site.store.put(`hosts/${asker}`, {
        host: asker,
        session: "none",
        zone: "zone-a",
        addresses: { callers: address, gossip: address, state: address },
    });
    context.after(() => {
        link.close();
        site.store.remove(`hosts/${asker}`);
    });
    await delay(IN_FORCE_MILLISECONDS);
    const { gossip } = holder.settings;
    const wish = { type: "wish", host: asker, engine: "i-engine", model: "quotes", adapter: "a39" } as const;
    const isTold = async (): Promise<boolean> => {
        link.send(wish, [`${gossip.address}:${gossip.port}`]);
        await delay(WISH_AGAIN_MILLISECONDS);
        return told.some(adapters => adapters.includes("a39"));
    };
    await until(isTold);
    told.length = 0;
    await until(isTold);
});

test("callers are given hosts of all cells of their zone", async () => {
    const [first] = hosts;
    assert.ok(first !== undefined);
    const ask = async (): Promise<number> => {
        const { body } = await askSmall(first.settings.directory, "/resolve?name=site.example&region=r&zone=zone-a");
        return (JSON.parse(body) as { addresses: string[]; }).addresses.length;
    };
    await until(async () => await ask() === HOSTS);
});

test("that an engine leaves is known in every cell", async () => {
    next = { "Server-Leaving": "1" };
    const [first] = cells()[0] ?? [];
    assert.ok(first !== undefined);
    const left = (host: SiteHost): boolean =>
        host.lines.some(line => line.message === "upstream left" && line.fields["upstream"] === "i-plain-2");
    await until(async () => {
        await callHost(first, { path: "/orders/1", method: "POST" });
        return left(first);
    });
    await until(() => hosts.every(left), IN_FORCE_MILLISECONDS);
});

test("when the hosts that watch stop, others of the cell watch in their place", async () => {
    const stopped = cells()[1]?.slice(0, WATCHERS_OF_CELL) ?? [];
    await Promise.all(stopped.map(({ host }) => host.close()));
    hosts = hosts.filter(host => !stopped.includes(host));
    site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent" }]);
    const version = site.version;
    await until(
        () =>
            hosts.every(host =>
                host.lines.some(({ fields, message }) =>
                    message === "configuration in force" && fields["version"] === version
                )
            ),
        IN_FORCE_MILLISECONDS,
    );
});
