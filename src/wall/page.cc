#include "wall/wall.h"

namespace daisypond::wall {

namespace {

constexpr char kPage[] = R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>daisypond wall</title>
<style>
:root{--bg:#0b1320;--card:#152238;--text:#f2f6fc;--dim:#a9b8cc;--good:#4cd787;
--warn:#ffc94a;--bad:#ff6b6b}
body{background:var(--bg);color:var(--text);font:26px/1.35 sans-serif;margin:0;
padding:24px}
h1{font-size:34px;margin:0 0 16px}h2{font-size:26px;margin:0 0 10px;
color:var(--dim);font-weight:600}
#grid{display:grid;grid-template-columns:repeat(auto-fit,minmax(560px,1fr));
gap:20px}
section{background:var(--card);border-radius:14px;padding:18px 22px}
table{border-collapse:collapse;width:100%}td,th{text-align:left;padding:5px 12px
5px 0;font-variant-numeric:tabular-nums}th{color:var(--dim);font-weight:500}
.big{font-size:64px;font-weight:700;line-height:1.1}
.good{color:var(--good)}.warn{color:var(--warn)}.bad{color:var(--bad)}
.dim{color:var(--dim)}.tiles{display:flex;flex-wrap:wrap;gap:8px}
.tile{padding:6px 14px;border-radius:8px;background:#22344f;font-size:22px}
#note{font-size:30px;margin-bottom:16px}
</style></head><body>
<h1>daisypond <span id="who" class="dim"></span></h1>
<div id="note"></div><div id="grid"></div>
<script>
const text=v=>{const d=document.createElement('span');d.textContent=v;
 return d.innerHTML};
const age=ms=>ms<0?'never':ms<1000?'now':ms<120000?Math.round(ms/1000)+' s':
 Math.round(ms/60000)+' min';
const grade=(v,warn,bad)=>v>=bad?'bad':v>=warn?'warn':'good';
const cell=(v,c)=>'<td class="'+(c||'')+'">'+text(v)+'</td>';
const row=cells=>'<tr>'+cells.join('')+'</tr>';
const head=names=>row(names.map(n=>'<th>'+text(n)+'</th>'));
const card=(title,body)=>'<section><h2>'+text(title)+'</h2>'+body+'</section>';
const counts=o=>{const k=Object.keys(o).sort((a,b)=>o[b]-o[a]);
 return k.length?'<table>'+k.map(n=>row([cell(n.replaceAll('_',' ')),
 cell(o[n])])).join('')+'</table>':'<span class="good">none</span>'};
function draw(w){
 document.getElementById('who').textContent='seen by '+w.instance+' in '+
  w.failure_domain+' at '+new Date(w.taken_at_ms).toISOString().slice(11,19)+
  ' UTC';
 const late=w.instances.filter(p=>['alive','leaving'].includes(p.status)&&
  p.configuration_version<w.newest_version);
 const broken=w.invariants.filter(i=>i.violated>0);
 const checked=w.invariants.reduce((n,i)=>n+i.checked,0);
 const note=document.getElementById('note');
 note.className=broken.length?'bad':w.platform_reached?'good':'warn';
 note.textContent=broken.length?'BROKEN PROMISE: '+broken.map(i=>i.name).join(
  ', '):w.platform_reached?'Platform reached':'Platform not reached for '+
  age(w.platform_age_ms)+'; serving what is held';
 const moving=w.targets.filter(t=>t.status!=='serving');
 document.getElementById('grid').innerHTML=
 card('Configuration in force','<div class="big '+(late.length?'warn':'good')+
  '">version '+w.newest_version+'</div>'+(late.length?late.map(p=>
  '<div class="warn">'+text(p.instance)+' is at '+p.configuration_version+
  '</div>').join(''):'<div class="good">at every reachable instance</div>'))+
 card('Failure domains','<table>'+head(['domain','alive','behind','last heard'])+
  w.domains.map(d=>row([cell(d.failure_domain),cell(d.alive+' / '+d.instances,
  d.alive<d.instances?'warn':'good'),cell(d.behind,d.behind?'warn':''),
  cell(age(d.age_ms),grade(d.age_ms,5000,15000))])).join('')+'</table>')+
 card('Work here','<div class="big">'+w.running+' <span class="dim" style='+
  '"font-size:30px">running, '+w.queued+' queued</span></div><div class="dim">'+
  w.counters.tokens_relayed_total+' tokens, '+w.counters.resumes_total+
  ' resumes, '+w.counters.takeovers_total+' takeovers, '+w.copies+
  ' copies</div>')+
 card('Targets joining, leaving or avoided','<div>'+(w.targets.length-
  moving.length)+' of '+w.targets.length+' serving</div>'+(moving.length?
  '<table>'+head(['target','status','domain','running'])+moving.map(t=>row([
  cell(t.target),cell(t.status,t.status==='avoided'?'bad':'warn'),
  cell(t.failure_domain),cell(t.running)])).join('')+'</table>':''))+
 card('Condemned requests',w.condemned.length?'<table>'+w.condemned.map(c=>row([
  cell(c.content,'bad'),cell(age(c.remaining_ms)+' left')])).join('')+
  '</table>':'<span class="good">none</span>')+
 card('Refusals by reason',counts(w.refusals))+
 card('Retries by reason',counts(w.retries))+
 card('Invariants','<div class="'+(broken.length?'bad':'good')+'">'+checked+
  ' checks, '+broken.reduce((n,i)=>n+i.violated,0)+' violated</div>');
}
let last=Date.now();
async function poll(){
 try{const r=await fetch('/v1/wall');draw(await r.json());last=Date.now()}
 catch(e){const n=document.getElementById('note');n.className='bad';
  n.textContent='This instance has not answered for '+age(Date.now()-last)+
  '; what is shown is that old'}
 setTimeout(poll,1000)}
poll();
</script></body></html>
)html";

}  // namespace

const std::string& PageHtml() {
  static const std::string page = kPage;
  return page;
}

}  // namespace daisypond::wall
