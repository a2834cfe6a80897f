import assert from "node:assert/strict";
import { test } from "node:test";
import { sampleDeployment } from "../../measurements/capacity/sampleDeployment.js";
import { type HostIdentity } from "../generated/peers.js";
import { settingsSchema } from "../generated/settings.js";
import { closeContext, createContext } from "./createContext.js";
import { createPoolTasks } from "./poolTasks.js";

const HOSTS = 390;
const POOLS = 130;
const CANDIDATES_PER_POOL = 4;

test("a host runs tasks only for pools that it is a candidate for as hosts change, none once it leaves", async () => {
    const context = createContext(settingsSchema.parse({
        host: "entry-0",
        zone: "zone-0",
        region: "region-0",
        callers: { address: "127.0.0.1", port: 9 },
        peers: { address: "127.0.0.1", port: 9 },
        platform: { keyValue: ["http://127.0.0.1:9"], hostList: "http://127.0.0.1:9" },
        log: { level: "error" },
    }));
    const peers: HostIdentity[] = Array.from(
        { length: HOSTS - 1 },
        (_, index) => ({ ...context.identity, host: `entry-${index + 1}` }),
    );
    let live = peers;
    const pools = createPoolTasks(context, () => [context.identity, ...live].map(({ host }) => host));
    const deployment = sampleDeployment({ engines: 10 * POOLS, models: 10, zones: 9 });
    const record = { revision: 1, changeIdentifier: "c", text: "", appliedAtMilliseconds: 0, operator: "o" };

    context.events.publish({ type: "deployment-activated", deployment, record });
    const tasksAmongManyHosts = Object.keys(pools.status()).length;
    assert.ok(tasksAmongManyHosts < 4 * POOLS * CANDIDATES_PER_POOL / HOSTS, `${tasksAmongManyHosts} tasks`);

    live = peers.slice(0, CANDIDATES_PER_POOL - 1);
    context.events.publish({ type: "peers-changed", live, liveIncludingLeaving: live });
    assert.equal(Object.keys(pools.status()).length, POOLS);

    live = peers;
    context.events.publish({ type: "peers-changed", live, liveIncludingLeaving: live });
    assert.equal(Object.keys(pools.status()).length, tasksAmongManyHosts);

    context.events.publish({ type: "leaving" });
    context.events.publish({ type: "deployment-activated", deployment, record });
    assert.equal(Object.keys(pools.status()).length, 0);
    await pools.close();
    await closeContext(context);
});
