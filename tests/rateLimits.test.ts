/**
 * Rate limits that an upstream names (`Server-Limit`) for all hosts together.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour, type PlatformUpstreamStandIn, type ReceivedRequest } from "../standins/platform/upstream.js";
import { type CallerAnswer, callHost, EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { type LimitArrival } from "./support/limitRule.js";

/** A limited upstream, what reached it, and whom it told of its limit. */
interface LimitedUpstream {
    readonly standIn: PlatformUpstreamStandIn;
    readonly arrivals: LimitArrival[];
    readonly toldAtMilliseconds: Map<string, number>;
}

/** Identifiers of requests begin with the host that they are sent to. */
function hostOf({ id }: ReceivedRequest): string {
    return id.split("/")[0] ?? "";
}

async function addLimitedUpstream(
    site: EntrySite,
    behave: (request: ReceivedRequest, index: number) => Behaviour = () => ({ type: "answer" }),
): Promise<LimitedUpstream> {
    const arrivals: LimitArrival[] = [];
    const toldAtMilliseconds = new Map<string, number>();
    const standIn = await site.addUpstream({
        id: "i-limited",
        slots: 100,
        behave: request => {
            const atMilliseconds = performance.now();
            arrivals.push({ host: hostOf(request), atMilliseconds });
            if (standIn.limit !== undefined && !toldAtMilliseconds.has(hostOf(request))) {
                toldAtMilliseconds.set(hostOf(request), atMilliseconds);
            }
            return behave(request, arrivals.length);
        },
    });
    return { standIn, arrivals, toldAtMilliseconds };
}

/** Starts a site with hosts before plain upstreams. */
async function startSite(hostCount: number): Promise<EntrySite> {
    const site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "idempotent", timeoutMs: 4_000 }]);
    for (let index = 1; index <= hostCount; index += 1) {
        await site.addHost(`entry-${index}`, { zone: `zone-${index}` });
    }
    await Promise.all(site.hosts.map(host => waitUntilReady(host)));
    await delay(1_000);
    return site;
}

let sent = 0;

function send(host: SiteHost): Promise<CallerAnswer> {
    sent += 1;
    return callHost(host, { path: "/orders/1", id: `${host.name}/${sent}` });
}

describe("a host reports the limits that upstreams name", () => {
    let site: EntrySite;
    let host: SiteHost;

    before(async () => {
        site = await startSite(1);
        const [first] = site.hosts;
        assert.ok(first !== undefined);
        host = first;
    });

    after(async () => {
        await site.close();
    });

    function limitLines(): (readonly [unknown, unknown])[] {
        const lines = host.lines.filter(({ message }) => message === "upstream limit changed");
        return lines.map(({ fields }) => [fields["outcome"], fields["limitPerSecond"]]);
    }

    test("each limit that an answer names, changes or withdraws is logged once, and what is no number is ignored", async () => {
        const { standIn } = await addLimitedUpstream(site);
        await until(async () => (await send(host)).status === 200);
        for (const limit of ["4.1", "4.1", "8", undefined, "abc", "-3", "NaN", "", "1e309", "4, 5", "0x10"]) {
            standIn.limit = limit;
            assert.equal((await send(host)).status, 200, String(limit));
        }
        assert.deepEqual(limitLines(), [["named", 4.1], ["changed", 8], ["withdrawn", undefined]]);
        const unreadable = host.lines.filter(({ message }) => message === "limit not readable");
        assert.deepEqual(unreadable.map(({ fields }) => fields["value"]), [
            "abc",
            "-3",
            "NaN",
            "",
            "1e309",
            "4, 5",
            "0x10",
        ]);
    });
});
