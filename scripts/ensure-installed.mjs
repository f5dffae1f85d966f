/**
 * Installs the locked dependencies when they are missing or older than the lock file.
 */
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

const marker = 'node_modules/.quetzalstream-lock';
const wanted = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex');
const isInstalled = existsSync(marker) && readFileSync(marker, 'utf8') === wanted;

if (!isInstalled) {
	execFileSync('npm', ['ci', '--no-audit', '--no-fund'], {stdio: 'inherit'});
	writeFileSync(marker, wanted);
}
