import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { settingsSchema } from "../generated/settings.js";
import { startHost } from "./index.js";

test("startHost rejects where its callers' address is in use, and closes its peer server", async () => {
    const occupant = createServer();
    await new Promise<void>(resolve => occupant.listen(0, "127.0.0.1", resolve));
    const { port } = occupant.address() as AddressInfo;
    const settings = settingsSchema.parse({
        host: "entry-1",
        zone: "west-1",
        region: "west",
        callers: { address: "127.0.0.1", port },
        peers: { address: "127.0.0.2", port },
        platform: { keyValue: ["http://127.0.0.1:9"], hostList: "http://127.0.0.1:9" },
        log: { level: "error" },
    });
    await assert.rejects(startHost(settings), /EADDRINUSE/);
    const peers = createServer();
    await new Promise<void>((resolve, reject) => peers.once("error", reject).listen(port, "127.0.0.2", resolve));
    await new Promise(resolve => peers.close(resolve));
    await new Promise(resolve => occupant.close(resolve));
});
